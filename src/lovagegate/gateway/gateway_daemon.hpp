#ifndef LOVAGEGATE_GATEWAY_GATEWAY_DAEMON_HPP
#define LOVAGEGATE_GATEWAY_GATEWAY_DAEMON_HPP

#include "lovagegate/gateway/adapter_coordinator.hpp"
#include "lovagegate/gateway/caller_connection.hpp"
#include "lovagegate/gateway/forwarding.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/news_codec.hpp"
#include "lovagegate/gateway/store_reader.hpp"
#include "lovagegate/metrics/registry.hpp"
#include "lovagegate/net/http_server.hpp"
#include "lovagegate/net/tcp_stream.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace lovagegate::gateway {

/// One instance on the users' platform: owns the sockets, hands events to the
/// parts that decide, and carries out what they decide.
class gateway_daemon
{
public:
    /// @param boot settings of this process
    /// @param reload reads the settings again; throws if they are wrong
    gateway_daemon(const boot_settings& boot,
                   std::function<boot_settings()> reload);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;

    /// Serves until stop() and until what is in flight has ended.
    void run();

    /// Begins a graceful shutdown; may be called from a signal handler.
    void stop() noexcept;

    /// Reads the settings again; may be called from a signal handler.
    void reload() noexcept;

private:
    void take_operator_item(const platform_wire::store_item& item);
    void take_target(const platform_wire::store_item& item, bool in_doubt);
    /// Broken connections to it were crashes.
    void note_run_ended(const target_state& t);
    [[nodiscard]] bool many_vanished(const std::string& service,
                                     time_point now);
    void accept_caller(int fd);
    void note_closing(const closing_facts& facts);
    void close_callers();
    void start_request(const caller_ptr& caller, caller_message message);
    void on_datagram(const settings::endpoint& from, std::string_view data);
    void send_to_peer(const std::string& address, const peer_message& message);
    void send_datagram(const std::string& address, std::string_view datagram);
    void beat();
    void tick();
    void look_at_connections();
    /// Closes what carries no request: the platform sends callers elsewhere.
    void take_no_more();
    void update_store_duty(time_point now);
    void tell_news(bool of_targets, const store_reader::batch& news);
    void take_news(const settings::endpoint& from, const store_news& news);
    void pull_from_peer(time_point now);
    void pull_from(const std::string& address);
    void take_peer_state(const std::string& body);
    void report_unreadable_state(const char* reason);
    [[nodiscard]] known_revisions newest() const;
    [[nodiscard]] std::string peer_state(std::string_view path) const;
    void serve_page(const net::exchange_ptr& exchange);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::string metrics_page() const;
    void begin_stop();
    [[nodiscard]] bool may_end() const;
    /// @return after this time of a stop no caller is sent here any more
    [[nodiscard]] duration rotation_time() const;
    /// @return after this time of a stop what is open gets its final answer
    [[nodiscard]] duration give_up_time() const;
    [[nodiscard]] bool is_past_rotation(time_point now) const;
    /// Answers what is still open when the grace time is nearly over.
    void give_up_requests();
    void do_reload();
    void every(duration interval, std::function<void()> fn);
    [[nodiscard]] std::unique_ptr<net::http_server>
    page_server(const std::string& address, std::uint16_t port);

    net::event_loop loop_;
    std::function<boot_settings()> read_settings_;
    std::mt19937_64 random_;
    gateway_state state_;
    target_pool pool_;
    target_pool control_pool_; ///< to the store and to other instances
    net::datagram_socket peers_;
    adapter_coordinator adapters_;
    metrics::registry metrics_;
    forward_context forward_;
    caller_context caller_context_;
    std::map<caller_connection*, caller_ptr> callers_;
    std::map<forwarding*, std::unique_ptr<forwarding>> requests_;
    std::vector<caller_ptr> ended_callers_;
    std::vector<std::unique_ptr<forwarding>> ended_requests_;
    std::unique_ptr<net::tcp_listener> listener_;
    std::unique_ptr<net::http_server> ready_server_;
    std::unique_ptr<net::http_server> control_server_;
    std::unique_ptr<net::http_server> metrics_server_;
    store_reader operator_reader_;
    store_reader target_reader_;
    std::unique_ptr<short_call> pull_;
    time_point last_pull_{};
    known_revisions behind_;    ///< newest that others knew, then
    time_point behind_since_{}; ///< when those were not known here
    bool pull_everything_ = false;
    time_point last_tick_{};
    time_point stop_since_{};
    std::map<std::string, std::vector<time_point>> vanished_;
    std::atomic<bool> stop_asked_{false};
    std::atomic<bool> reload_asked_{false};
};

} // namespace lovagegate::gateway

#endif
