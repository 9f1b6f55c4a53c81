#ifndef LOVAGEGATE_SERVE_CALLER_FRONTEND_HPP
#define LOVAGEGATE_SERVE_CALLER_FRONTEND_HPP

#include "lovagegate/metrics/registry.hpp"
#include "lovagegate/net/http_server.hpp"
#include "lovagegate/serve/core_runner.hpp"
#include "lovagegate/serve/open_request.hpp"
#include "lovagegate/settings/settings.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace lovagegate::serve {

/// Accepts requests from callers, submits them to the decision core, and
/// answers those that no target has answered.
class caller_frontend
{
public:
    /// Serves a page for operators; returns false if the path is not such a
    /// page.
    using page_handler = std::function<bool(const net::exchange_ptr&)>;

    /// The referenced objects outlive this one.
    /// @throws net::bind_error
    caller_frontend(net::event_loop& loop, const settings::settings& checked,
                    core_runner& core, metrics::registry& metrics,
                    page_handler pages);

    /// @return the request, or null once it has ended
    [[nodiscard]] std::shared_ptr<open_request> find(local_id id) const;

    /// Ends a request with the outcome that the decision core chose.
    void finish(const node::finish_request& end);

    /// @return the number of requests without an outcome
    [[nodiscard]] std::size_t open_count() const noexcept
    {
        return open_requests_.size();
    }

    [[nodiscard]] const net::http_server& server() const noexcept
    {
        return server_;
    }

    [[nodiscard]] const counters& counts() const noexcept { return counts_; }

private:
    void on_request(const net::exchange_ptr& exchange);
    void accept_request(const net::exchange_ptr& exchange,
                        checked_request request);
    void refuse(const net::exchange_ptr& exchange, const request_fault& fault);
    void list_models(const net::exchange_ptr& exchange,
                     const service_id& service) const;

    const settings::settings& settings_;
    core_runner& core_;
    metrics::registry& metrics_;
    page_handler pages_;
    counters counts_;
    local_id last_id_ = 0;
    std::unordered_map<local_id, std::shared_ptr<open_request>> open_requests_;
    net::http_server server_;
};

} // namespace lovagegate::serve

#endif
