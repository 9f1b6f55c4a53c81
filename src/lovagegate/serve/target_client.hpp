#ifndef LOVAGEGATE_SERVE_TARGET_CLIENT_HPP
#define LOVAGEGATE_SERVE_TARGET_CLIENT_HPP

#include "lovagegate/metrics/registry.hpp"
#include "lovagegate/serve/attempt.hpp"
#include "lovagegate/serve/caller_frontend.hpp"

#include <memory>
#include <unordered_map>

namespace lovagegate::serve {

/// Starts and cancels attempts at targets as the decision core orders.
class target_client
{
public:
    /// The referenced objects outlive this one.
    target_client(net::event_loop& loop, net::http_client& client,
                  const settings::limit_settings& limits,
                  caller_frontend& frontend, core_runner& core,
                  metrics::registry& metrics);

    void start(const node::start_attempt& order);
    void cancel(const node::cancel_attempt& order);

private:
    [[nodiscard]] attempt_observer
    observe(const std::shared_ptr<open_request>& call, std::uint32_t number);
    void remove(local_id id, std::uint32_t number);

    net::event_loop& loop_;
    net::http_client& client_;
    const settings::limit_settings& limits_;
    caller_frontend& frontend_;
    core_runner& core_;
    metrics::registry& metrics_;
    std::unordered_map<local_id, std::shared_ptr<attempt>> attempts_;
};

} // namespace lovagegate::serve

#endif
