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

/// How far a call to a target had progressed when it failed.
enum class call_failure : std::uint8_t
{
    no_connection, ///< no connection could be opened, or the limit is reached
    refused,       ///< the target's address refused the connection
    unreachable,   ///< connecting failed for another reason
    before_answer, ///< the request was sent and may have run
    within_answer, ///< the connection broke within the answer
    not_an_answer, ///< the target sent bytes that are not a valid answer
};

/// @return the name used in counters and logs
[[nodiscard]] std::string_view to_string(call_failure f) noexcept;

/// @return whether it is certain that no byte of the request reached the target
[[nodiscard]] constexpr bool nothing_sent(call_failure f) noexcept
{
    return f == call_failure::no_connection || f == call_failure::refused ||
           f == call_failure::unreachable;
}

/// Receives the answer to one call. No call follows on_answer_end() or
/// on_call_failed(), and the target_call may be destroyed in either of them.
class call_handler
{
public:
    virtual void on_answer_head(net::message_head& head) = 0;
    /// @return false if the target_call was destroyed during the call
    virtual bool on_answer_body(std::string_view part) = 0;
    virtual void on_answer_end() = 0;
    virtual void on_call_failed(call_failure f) = 0;

protected:
    ~call_handler() = default;
};

/// A request to one target.
struct target_request
{
    std::string target; ///< id, the key of its kept connections
    settings::endpoint address;
    std::string head; ///< with the empty line at its end
    std::string_view body;
    std::string attempt_id; ///< the answer must repeat it; not checked if empty
    bool is_head_method = false;
    /// The request must not run twice: a kept connection that the target may
    /// already have closed isn't used.
    bool needs_fresh_connection = false;
};

namespace internal {
class target_connection;
}

/// A request in progress. Destroying it before the answer is complete closes
/// its connection.
class target_call
{
public:
    ~target_call();
    target_call(const target_call&) = delete;
    target_call& operator=(const target_call&) = delete;

    /// Pauses or resumes reading the answer, which slows the target down.
    void set_reading(bool on);

private:
    friend class target_pool;
    friend class internal::target_connection;
    target_call() = default;

    internal::target_connection* connection_ = nullptr;
};

/// Limits for the connections to targets.
struct pool_settings
{
    /// A target on the same network accepts a connection within milliseconds.
    duration connect_timeout = 450ms;
    /// A peer that acknowledges no data for this long is considered
    /// unreachable.
    duration acknowledgement_timeout = 1500ms;
    /// Idle timeout of kept connections for which the target announces none.
    duration idle_timeout = 2500ms;
    /// Maximum idle time of a connection that is reused for a request that must
    /// not run twice: targets close idle connections after one second or more.
    duration fresh_connection_max_idle = 600ms;
    /// Heads are held until they are complete, one for each open call.
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    /// Limit for the bytes of interim answers and of answers to other requests
    /// that are skipped before the answer. A late answer to an earlier request
    /// fits.
    std::size_t max_skipped_bytes = std::size_t{1024} * 1024;
};

/// Counters of the pool.
struct pool_counts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t stale = 0; ///< closed by their targets, found on reuse
    std::uint64_t unexpected_answers = 0; ///< to other requests, dropped
};

/// Pool of kept connections to all targets.
class target_pool
{
public:
    target_pool(net::event_loop& loop, pool_settings settings = {});
    ~target_pool();

    /// Sends a request. The handler is called later, from the event loop.
    /// @param limit maximum number of connections to this target
    /// @return the call, or null if no connection is available or can be opened
    std::unique_ptr<target_call> send(const target_request& request,
                                      std::size_t limit, call_handler& handler);

    /// Closes the idle connections to a target.
    void close_idle_connections(const std::string& target);

    /// Closes connections whose idle timeout has passed.
    void close_expired(time_point now);

    [[nodiscard]] const pool_counts& counts() const noexcept { return counts_; }
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    friend class internal::target_connection;
    friend class target_call;
    using connection_list =
        std::list<std::unique_ptr<internal::target_connection>>;

    internal::target_connection* idle_connection(connection_list& all,
                                                 const target_request& request,
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
