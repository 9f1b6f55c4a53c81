#ifndef LOVAGEGATE_SERVE_ENGINE_REPORTER_HPP
#define LOVAGEGATE_SERVE_ENGINE_REPORTER_HPP

#include "lovagegate/net/http_client.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/serve/core_input.hpp"

#include <memory>
#include <set>
#include <string>

namespace lovagegate::serve {

/// Polls engines for load reports and sends orders to them.
class engine_reporter
{
public:
    /// @param client outlives the reporter
    engine_reporter(net::http_client& client, core_input core);

    /// Reads an engine's two report pages. Ignored while a poll of the same
    /// engine is in progress.
    void poll(const node::poll_engine& command);

    void order(const node::order_engine& order);

private:
    struct poll_state;
    struct order_state;

    void read_page(const std::shared_ptr<poll_state>& poll,
                   const std::string& path, std::string poll_state::*page);
    void on_page_done(poll_state& poll, bool ok);
    void end_order(const order_state& order, node::order_end end);

    net::http_client& client_;
    core_input core_;
    std::set<target_id> polling_;
};

} // namespace lovagegate::serve

#endif
