#include "lovagegate/serve/daemon.hpp"

#include "lovagegate/callers/process_resources.hpp"
#include "lovagegate/logging/log.hpp"
#include "lovagegate/node/from_settings.hpp"
#include "lovagegate/serve/status_page.hpp"
#include "lovagegate/settings/load.hpp"

#include <array>
#include <random>
#include <sstream>
#include <utility>

namespace lovagegate::serve {

namespace {

template <typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

/// Milliseconds since the epoch: a later process has a higher number.
incarnation start_number()
{
    return static_cast<incarnation>(
        net::event_loop::now().wall.time_since_epoch().count());
}

std::uint64_t random_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

net::loop_settings loop_settings(const settings::settings& checked)
{
    net::loop_settings s;
    s.max_header_bytes =
        static_cast<std::uint32_t>(checked.limits.header_bytes);
    return s;
}

void respond(net::exchange& exchange, int status, const char* type,
             const std::string& body)
{
    exchange.respond(status, {{"content-type", type}}, body);
}

} // namespace

daemon::daemon(settings::settings checked)
    : settings_(std::move(checked)), loop_(loop_settings(settings_)),
      core_(loop_, node::from_settings(settings_), settings_.instance.name,
            start_number(), random_seed()),
      client_(loop_),
      frontend_(loop_, settings_, core_, metrics_,
                [this](const net::exchange_ptr& e) { return serve_page(e); }),
      targets_(loop_, client_, settings_.limits, frontend_, core_, metrics_),
      engines_(client_, make_core_input()),
      platform_(client_, settings_.platform, make_core_input()),
      peers_(loop_, {core_.core().self(), core_.core().start()},
             wire::shared_key(settings::load_key(settings_.peers.key_file)),
             settings_.instance.peer_listen, make_core_input(), peer_counts_),
      drain_(loop_, core_, frontend_, settings_.limits.drain_deadline)
{
    callers::return_large_blocks();
    core_.set_output_handler([this](const node::output& o) { execute(o); });
}

daemon::~daemon()
{
    // Closing connections must not call tasks that are already destroyed.
    core_.set_output_handler([](const node::output&) {});
}

bool daemon::run()
{
    logging::write(logging::level::info, "started",
                   {{"instance", settings_.instance.name.str()},
                    {"listen", to_string(settings_.instance.listen)},
                    {"start", core_.core().start()}});
    core_.start();
    loop_.run();
    return drain_.requests_cut_off() == 0;
}

core_input daemon::make_core_input()
{
    return [this](const node::input& in) {
        if (const auto* list = std::get_if<node::instance_list>(&in))
            peers_.set_instances(list->instances);
        if (const auto* report = std::get_if<node::engine_report>(&in))
            observe(*report);
        core_.submit(in);
    };
}

void daemon::observe(const node::engine_report& report)
{
    const auto& targets = core_.core().tickets().state().targets;
    const auto it = targets.find(report.target);
    if (it == targets.end() || it->second.max_running == 0)
        return;
    metrics_.observe_batch_fill(static_cast<double>(report.running) /
                                    static_cast<double>(it->second.max_running),
                                net::event_loop::now().mono);
}

void daemon::execute(const node::output& out)
{
    std::visit(
        overloaded{
            [this](const node::start_attempt& o) { targets_.start(o); },
            [this](const node::cancel_attempt& o) { targets_.cancel(o); },
            [this](const node::finish_request& o) { frontend_.finish(o); },
            [this](const node::send_message& o) { peers_.send(o.to, o.body); },
            [this](const node::order_engine& o) { engines_.order(o); },
            [this](const node::poll_engine& o) { engines_.poll(o); },
            [this](const node::read_platform& o) { platform_.read(o); },
            [this](const node::log_event& o) { log(o); },
            [this](const node::drained&) { drain_.on_drained(); }},
        out);
}

void daemon::log(const node::log_event& event) const
{
    std::ostringstream line;
    line << event.event;
    for (const auto& [key, value] : event.fields)
        line << ' '
             << logging::format(key, {{key, value}}).substr(key.size() + 1);
    logging::write(logging::level::info, line.str());
}

bool daemon::serve_page(const net::exchange_ptr& exchange)
{
    const net::http_request& request = exchange->request();
    if (request.method != "GET")
        return false;
    if (request.path == "/healthz") {
        respond(*exchange, 200, "text/plain", "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready = core_.core().phase() == protocol::phase::ready;
        respond(*exchange, ready ? 200 : 503, "text/plain",
                ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        respond(*exchange, 200, "text/plain; version=0.0.4", metrics_page());
    } else if (request.path == "/admin/status") {
        respond(*exchange, 200, "application/json",
                status_page(settings_, core_.core(), all_counts()));
    } else {
        return false;
    }
    return true;
}

counters daemon::all_counts() const
{
    counters all = core_.core().counts();
    for (const counters* part : {&frontend_.counts(), &peer_counts_})
        for (const auto& [name, count] : part->all())
            all.add(name, count);
    const net::http_server_counts& server = frontend_.server().counts();
    all.add("connections_accepted", server.accepted);
    all.add("connections_refused", server.refused_connections);
    all.add("connections_closed_for_new", server.closed_for_new);
    all.add("connections_closed_unread", server.closed_before_request);
    all.add("connections_timed_out", server.timed_out);
    all.add("http_requests", server.requests);
    all.add("peer_bytes_sent", peers_.bytes_sent());
    all.add("peer_bytes_received", peers_.bytes_received());
    return all;
}

std::string daemon::metrics_page() const
{
    const auto& server = frontend_.server();
    const std::array gauges{
        metrics::gauge{"open_requests",
                       static_cast<double>(frontend_.open_count())},
        metrics::gauge{"open_connections",
                       static_cast<double>(server.connections())},
        metrics::gauge{"ready", core_.core().phase() == protocol::phase::ready
                                    ? 1.0
                                    : 0.0}};
    return metrics_.page(all_counts(), gauges);
}

} // namespace lovagegate::serve
