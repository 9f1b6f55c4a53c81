#ifndef LOVAGEGATE_GATEWAY_GATEWAY_DAEMON_HPP
#define LOVAGEGATE_GATEWAY_GATEWAY_DAEMON_HPP

#include "lovagegate/callers/caller_account.hpp"
#include "lovagegate/callers/connection_limits.hpp"
#include "lovagegate/callers/process_resources.hpp"
#include "lovagegate/crashes/missed_notices.hpp"
#include "lovagegate/gateway/adapter_coordinator.hpp"
#include "lovagegate/gateway/caller_connection.hpp"
#include "lovagegate/gateway/forwarding.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/peer_sender.hpp"
#include "lovagegate/gateway/store_mirror.hpp"
#include "lovagegate/metrics/registry.hpp"
#include "lovagegate/net/http_server.hpp"
#include "lovagegate/net/tcp_stream.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// One instance on the operators' platform: owns the sockets, passes events to
/// the components that make decisions, and carries these decisions out.
class gateway_daemon
{
public:
    /// @param boot settings of this process
    /// @param reload reads the settings again; throws if they are invalid
    gateway_daemon(const boot_settings& boot,
                   std::function<boot_settings()> reload);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;

    /// Serves until stop() was called and the requests in progress have ended.
    void run();

    /// Starts a graceful shutdown; may be called from a signal handler.
    void stop() noexcept;

    /// Requests a reload of the settings; may be called from a signal handler.
    void reload() noexcept;

private:
    void on_operator_item(const platform_wire::store_item& item);
    /// Lists targets whose entries a restored store had from its copy and still
    /// has.
    void list_confirmed_targets(time_point now);
    /// @param revision of the entry, or a later one of the same era
    void list_target(const target_entry& entry, store_revision revision);
    void on_target_item(const platform_wire::store_item& item,
                        duration doubt_left);
    /// Counts the broken connections to this run of the target as crashes.
    void record_run_end(const target_state& t);
    /// Tells other instances of broken connections to targets, all at once.
    void schedule_crash_notices();
    void on_limit_notice(const limit_notice& notice, time_point now);
    void on_crash_digest(const std::string& from, const crash_digest& digest,
                         time_point now);
    /// Repeats to another instance what it may have missed, and asks others for
    /// what this one may have missed.
    void repeat_crash_reports();
    /// @return number of live instances that may try blocked prompt parts
    ///         before this one
    [[nodiscard]] std::size_t trial_rank() const;
    void accept_caller(int fd);
    void on_caller_closed(const connection_summary& facts);
    void close_callers();
    void start_request(const caller_ptr& caller, caller_message message);
    void on_datagram(const settings::endpoint& from, std::string_view data);
    void send_heartbeats();
    void tick();
    void check_connections();
    void log_account() const;
    /// Stops listening and closes idle connections; the platform routes callers
    /// to other instances by then.
    void stop_accepting();
    void serve_page(const net::exchange_ptr& exchange);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::string metrics_page() const;
    void begin_stop();
    [[nodiscard]] bool may_end() const;
    /// @return time since the start of a stop after which the platform sends no
    ///         more callers here
    [[nodiscard]] duration rotation_removal_time() const;
    /// @return time since the start of a stop after which open requests get
    ///         their final answer
    [[nodiscard]] duration give_up_time() const;
    [[nodiscard]] bool is_past_rotation(time_point now) const;
    /// Answers the requests that are still open shortly before the grace time
    /// ends.
    void give_up_requests();
    /// Ends requests that have turned out to crash engines.
    void reconsider_requests();
    /// @return the open requests; each removes itself from the map when it ends
    [[nodiscard]] std::vector<forwarding*> open_requests() const;
    void do_reload();
    /// Takes the seeds of the settings if they have changed. The platform
    /// rewrites them without a signal, and an instance whose seeds are down
    /// finds the others only by new ones.
    void update_seeds();
    void run_every(duration interval, std::function<void()> fn);
    [[nodiscard]] std::unique_ptr<net::http_server>
    make_page_server(const std::string& address, std::uint16_t port);

    net::event_loop loop_;
    std::function<boot_settings()> read_settings_;
    std::mt19937_64 random_;
    gateway_state state_;
    target_pool pool_;
    target_pool
        control_pool_; ///< for calls to the store and to other instances
    net::datagram_socket peers_;
    peer_sender sender_;
    adapter_coordinator adapters_;
    crash_reports crashes_;
    crashes::missed_notices missed_;
    metrics::registry metrics_;
    answer_memory answer_memory_;
    quota::fleet_quota quota_;
    capacity::service_permits permits_;
    pace::engine_admission admission_;
    callers::connection_limits connection_limits_;
    callers::caller_account caller_account_;
    callers::account_reporter account_reporter_;
    callers::memory_trimmer trimmer_;
    forwarding_context forwarding_context_;
    caller_context caller_context_;
    std::map<caller_connection*, caller_ptr> callers_;
    std::map<forwarding*, std::unique_ptr<forwarding>> requests_;
    std::vector<caller_ptr> ended_callers_;
    std::vector<std::unique_ptr<forwarding>> ended_requests_;
    std::unique_ptr<net::tcp_listener> listener_;
    std::unique_ptr<net::http_server> ready_server_;
    std::unique_ptr<net::http_server> control_server_;
    std::unique_ptr<net::http_server> metrics_server_;
    store_mirror store_;
    time_point last_tick_{};
    time_point stop_since_{};
    std::atomic<bool> stop_requested_{false};
    std::atomic<bool> reload_requested_{false};
};

} // namespace lovagegate::gateway

#endif
