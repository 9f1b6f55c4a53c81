#ifndef LOVAGEGATE_GATEWAY_TARGET_POOL_HPP
#define LOVAGEGATE_GATEWAY_TARGET_POOL_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_message.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// How far a call to a target had come when it failed.
enum class call_failure : std::uint8_t
{
    no_connection, ///< none could be opened, or no more are allowed
    refused,       ///< nothing listens at the target's address
    unreachable,   ///< no connection came about for another reason
    before_answer, ///< the request was sent and may have run
    within_answer, ///< the answer broke off
    not_an_answer, ///< the target sent bytes that are no answer
};

/// @return the name used in counters and logs
[[nodiscard]] std::string_view to_string(call_failure f) noexcept;

/// @return whether provably no byte of the request has reached the target
[[nodiscard]] constexpr bool nothing_sent(call_failure f) noexcept
{
    return f == call_failure::no_connection || f == call_failure::refused ||
           f == call_failure::unreachable;
}

/// Gets the answer to one call. Nothing follows on_answer_end() or
/// on_call_failed(), and the call may be destroyed in them.
class call_handler
{
public:
    virtual void on_answer_head(net::message_head& head) = 0;
    /// @return false if the call was destroyed meanwhile
    virtual bool on_answer_body(std::string_view part) = 0;
    virtual void on_answer_end() = 0;
    virtual void on_call_failed(call_failure f) = 0;

protected:
    ~call_handler() = default;
};

/// What to send.
struct target_request
{
    std::string target; ///< id, for the pool of kept connections
    settings::endpoint address;
    std::string head; ///< with the empty line
    std::string_view body;
    std::string attempt_id; ///< the answer must repeat it; empty: not checked
    bool is_head_method = false;
    /// The request may not run twice: a connection that the target may have
    /// closed meanwhile is not used.
    bool needs_fresh_connection = false;
};

namespace internal {
class target_connection;
}

/// One request on its way. Destroying it closes its connection if the answer
/// is not complete.
class target_call
{
public:
    ~target_call();
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;

    /// Stops and goes on reading, to slow the target down.
    void set_reading(bool on);

private:
    friend class target_pool;
    friend class internal::target_connection;
    target_call() = default;

    internal::target_connection* connection_ = nullptr;
};

/// Bounds of the connections to targets.
struct pool_settings
{
    /// A target on the same network answers a connect in milliseconds.
    duration connect_timeout = 450ms;
    /// A peer that acknowledges nothing for so long is gone.
    duration acknowledgement_timeout = 1500ms;
    /// Kept connections that targets give no time for.
    duration idle_timeout = 2500ms;
    /// For requests that may not run twice: targets close idle connections
    /// after a second or more.
    duration fresh_connection_max_idle = 600ms;
    std::size_t max_head_bytes = std::size_t{32} * 1024;
    /// Bytes of interim answers and of answers to other requests that are read
    /// in search of the answer. A late answer to an earlier request fits.
    std::size_t max_skipped_bytes = std::size_t{1024} * 1024;
};

/// What the pool has done.
struct pool_counts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t unexpected_answers = 0; ///< of other requests, dropped
};

/// Kept connections to all targets.
class target_pool
{
public:
    target_pool(net::event_loop& loop, pool_settings settings = {});
    ~target_pool();

    /// Sends a request. Events come later.
    /// @param limit most connections to this target
    /// @return the call, or null if there are too many connections
    std::unique_ptr<target_call> send(const target_request& request,
                                      std::size_t limit, call_handler& handler);

    /// Closes the kept connections to a target.
    void close_idle_connections(const std::string& target);

    /// Closes connections that were idle for too long.
    void close_expired(time_point now);

    [[nodiscard]] const pool_counts& counts() const noexcept { return counts_; }
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    friend class internal::target_connection;
    friend class target_call;
    using connection_list =
        std::list<std::unique_ptr<internal::target_connection>>;

    internal::target_connection* idle_connection(connection_list& all,
                                                 bool needs_fresh_connection,
                                                 time_point now);
    void discard(internal::target_connection& c);

    net::event_loop& loop_;
    pool_settings settings_;
    pool_counts counts_;
    std::map<std::string, connection_list> connections_;
    connection_list discarded_;
};

} // namespace lovagegate::gateway

#endif
