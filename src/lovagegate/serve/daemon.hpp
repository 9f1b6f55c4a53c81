#ifndef LOVAGEGATE_SERVE_DAEMON_HPP
#define LOVAGEGATE_SERVE_DAEMON_HPP

#include "lovagegate/metrics/registry.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_client.hpp"
#include "lovagegate/serve/caller_frontend.hpp"
#include "lovagegate/serve/core_runner.hpp"
#include "lovagegate/serve/drain.hpp"
#include "lovagegate/serve/engine_reporter.hpp"
#include "lovagegate/serve/peer_transport.hpp"
#include "lovagegate/serve/platform_reader.hpp"
#include "lovagegate/serve/target_client.hpp"
#include "lovagegate/settings/settings.hpp"

namespace lovagegate::serve {

/// Runs one instance: the decision core and the tasks that own its sockets.
class daemon
{
public:
    /// @param checked settings of the instance
    /// @throws net::bind_error, settings::settings_error
    explicit daemon(settings::settings checked);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Serves until a graceful shutdown has finished.
    /// @return true if no request was cut off
    bool run();

    /// Begins a graceful shutdown; may be called from a signal handler.
    void stop() noexcept { drain_.request(); }

    /// @return the port on which callers connect
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return frontend_.server().port();
    }

private:
    /// @return the callback by which tasks submit inputs to the decision core
    [[nodiscard]] core_input make_core_input();
    void observe(const node::engine_report& report);
    void execute(const node::output& out);
    void log(const node::log_event& event) const;
    bool serve_page(const net::exchange_ptr& exchange);
    [[nodiscard]] counters all_counts() const;
    [[nodiscard]] std::string metrics_page() const;

    settings::settings settings_;
    net::event_loop loop_;
    metrics::registry metrics_;
    core_runner core_;
    net::http_client client_;
    caller_frontend frontend_;
    target_client targets_;
    engine_reporter engines_;
    platform_reader platform_;
    counters peer_counts_;
    peer_transport peers_;
    drain drain_;
};

} // namespace lovagegate::serve

#endif
