#ifndef LOVAGEGATE_GATEWAY_ADAPTER_COORDINATOR_HPP
#define LOVAGEGATE_GATEWAY_ADAPTER_COORDINATOR_HPP

#include "lovagegate/gateway/adapter_planner.hpp"
#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/short_call.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// Requests adapters on engines from the instances that own them, and sends
/// load and unload orders to the engines that this instance owns.
class adapter_coordinator
{
public:
    /// Sends a message to the instance at an address.
    using peer_sender =
        std::function<void(const std::string& address, const peer_message&)>;
    /// @param version resident version, if the adapter is resident
    using answer_handler =
        std::function<void(adapter_status status, std::uint64_t version)>;

    adapter_coordinator(net::event_loop& loop, gateway_state& state,
                        target_pool& pool, peer_sender send);
    ~adapter_coordinator();

    /// @param open returns the requests of this instance that are open at an
    ///        engine or may be sent there; their number is told to the owner
    void
    set_open_requests(std::function<std::uint32_t(const std::string&)> open)
    {
        open_requests_ = std::move(open);
    }

    /// Requests an adapter on an engine.
    /// @param was_absent the engine returned a request because the adapter was
    ///        not loaded
    /// @param deadline time after which the request needs no adapter any more
    /// @param done called once, possibly before this function returns, unless
    ///        cancelled
    /// @return number for cancel(); 0 if done has already been called
    std::uint64_t request_adapter(const std::string& engine,
                                  const adapter_ref& wanted, bool was_absent,
                                  time_point deadline, answer_handler done);

    void cancel(std::uint64_t number);

    /// Called when an engine told this instance that it leaves, or that it
    /// takes no requests for some time. Requests of this instance that wait for
    /// an adapter there are refused, and so are those of other instances if the
    /// engine leaves; adapters that nobody waits for any more are not loaded.
    /// Takes effect in the next turn of the loop.
    void on_target_taken_out(const std::string& engine);

    /// Marks an adapter as used by a request of this instance, so that its
    /// owner doesn't evict it. Each call of begin_use() is paired with one of
    /// end_use().
    void begin_use(const std::string& engine, const std::string& adapter);
    void end_use(const std::string& engine, const std::string& adapter);

    /// Called when a stream of an engine has ended.
    /// @param stalled whether it had a gap longer than its route allows
    void on_stream_ended(const std::string& engine, bool stalled);

    void on_message(const std::string& from, const adapter_request& ask);
    void on_message(const std::string& from, const adapter_reply& answer);
    void on_message(const std::string& from, const adapter_usage& use);

    /// Called when a new version of an adapter is published.
    void on_release(const adapter_release& release);

    /// Updates ownership, polls the owned engines and resends pending requests.
    /// Call it every tick.
    void tick(instant now);

    /// Does the part of tick() that serves requests of this instance. Still
    /// needed after stop().
    void tick_requests(time_point now);

    /// Gives up the ownership of all engines.
    void stop(const std::string& reason, instant now);

    /// Returns the engine claims for the next heartbeat.
    [[nodiscard]] std::vector<engine_claim> claims(time_point now) const;

    /// @return when the owned engine last answered a poll of its report, or, if
    ///         it hasn't, when this instance began to own it
    [[nodiscard]] std::optional<time_point>
    last_report(const std::string& engine) const;

    /// @return loads in progress on owned engines
    [[nodiscard]] std::size_t loads_in_transit() const;

private:
    struct waiter
    {
        std::string from; ///< address of the requester; empty: this instance
        std::uint64_t number = 0;
        adapter_ref wanted;
        time_point until{};
    };

    struct owned_engine
    {
        owned_engine(const std::string& id, const engine_spec& spec)
            : planner(id, spec)
        {
        }
        adapter_planner planner;
        std::vector<waiter> waiters;
        std::unique_ptr<short_call> report;
        std::map<std::uint64_t, std::unique_ptr<short_call>> orders;
        time_point next_report{};
        time_point ready_check_at{}; ///< time of the scheduled check for a
                                     ///< finished load
        std::int64_t started_ms = 0;
        time_point last_report{};
        /// Moving average over the streams of all instances, 0 to 1.
        double stalled_stream_share = 0;
    };

    /// Content of the next adapter_usage message to the owner of an engine.
    struct engine_use
    {
        /// Open requests of this instance by adapter.
        std::map<std::string, std::uint32_t> open;
        std::uint32_t open_requests = 0; ///< also those without an adapter
        /// Adapters were added or removed since the last message.
        bool changed = false;
        std::uint32_t streams = 0;
        std::uint32_t stalled_streams = 0;
    };

    struct pending_request
    {
        std::string engine;
        adapter_ref wanted;
        bool was_absent = false;
        answer_handler done;
        time_point deadline{};
        time_point since{};
        time_point last_sent{};
        bool acknowledged = false; ///< the owner has confirmed the request
    };

    void update_owned_engines(instant now);
    /// Polls engines whose orders by others this instance must know of.
    void watch_engines(time_point now);
    void on_watched_report(const std::string& id, std::int64_t started_ms,
                           const short_call::result& r);
    [[nodiscard]] std::unique_ptr<short_call>
    request_report(const target_state& t, short_call::done_handler done);
    void poll_report(const std::string& id, owned_engine& e, time_point now);
    void on_report(const std::string& id, const short_call::result& r);
    void process_engine(const std::string& id, owned_engine& e, time_point now);
    void schedule_ready_check(const std::string& id, owned_engine& e,
                              time_point now);
    void send_order(const std::string& id, owned_engine& e,
                    const engine_order& order);
    void on_order_done(const std::string& id, std::uint64_t number,
                       const engine_order& order, const short_call::result& r);
    /// @return whether the engine told this instance that it leaves
    [[nodiscard]] bool leaves_by_notice(const std::string& engine) const;
    void refuse_requests(const std::string& engine);
    /// @param own_only waiters of other instances stay
    void refuse_waiters(owned_engine& e, const std::string& engine,
                        bool own_only);
    void answer_waiters(owned_engine& e, const std::string& id, time_point now);
    void reply(const waiter& w, const std::string& engine,
               adapter_status status, std::uint64_t version);
    void finish(std::uint64_t number, adapter_status status,
                std::uint64_t version);
    void send_request(std::uint64_t number, pending_request& ask,
                      time_point now);
    /// Sends changed uses once the current event has been handled.
    void schedule_changed_uses(engine_use& use);
    /// @param all also those that didn't change since the last message
    void send_adapter_uses(bool all);
    /// Adds the engines at which this instance has open requests to those whose
    /// use is told.
    void add_engines_with_requests();
    void send_adapter_use(const std::string& engine, engine_use& mine,
                          time_point now);
    void log_change(const engine_ownership::change& c) const;
    [[nodiscard]] std::size_t
    connection_limit(const std::string& service) const;

    net::event_loop& loop_;
    gateway_state& state_;
    target_pool& pool_;
    peer_sender send_;
    std::map<std::string, owned_engine> owned_engines_;
    struct watched_engine
    {
        std::unique_ptr<short_call> report;
        time_point next_report{};
    };
    /// Engines that this instance doesn't own, see engine_ownership::watched().
    std::map<std::string, watched_engine> watched_engines_;
    std::map<std::uint64_t, pending_request> pending_requests_;
    std::map<std::string, engine_use> uses_;
    std::function<std::uint32_t(const std::string&)> open_requests_;
    bool use_flush_scheduled_ = false;
    std::uint64_t last_number_ = 0;
    time_point last_use_flush_{};
    time_point last_update_{};
};

} // namespace lovagegate::gateway

#endif
