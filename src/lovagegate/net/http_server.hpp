#ifndef LOVAGEGATE_NET_HTTP_SERVER_HPP
#define LOVAGEGATE_NET_HTTP_SERVER_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>

namespace lovagegate::net {

namespace internal {
class server_connection;
struct server_callbacks;
} // namespace internal

/// Settings of one http_server.
struct http_server_settings
{
    std::string address = "127.0.0.1"; ///< IP address to bind
    std::uint16_t port = 0;            ///< 0: any free port
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    /// Limit for the bodies of all requests that are received or served, each
    /// without its first free_body_bytes. When it is full, a body of which
    /// nothing has arrived for stalled_body_time is refused, or else the new
    /// one.
    std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t free_body_bytes = std::size_t{64} * 1024;
    duration stalled_body_time = 1s;
    std::size_t max_connections = 4096;
    /// At max_connections, whether the connection that has waited longest for a
    /// request, or for its caller to read, is closed instead of a new one: then
    /// connections that are held open don't keep others out.
    bool closes_waiting_for_new = false;
    duration head_timeout = 10s; ///< from accepting to the complete head
    duration body_timeout = 30s; ///< from the head to the complete body
    duration idle_timeout = 60s; ///< idle time between two requests
    /// Interval of checks whether callers waiting for a response disconnected.
    duration disconnect_poll_interval = 250ms;
};

/// Why a request was refused before it reached the handler.
enum class bad_request : std::uint8_t
{
    body_too_large,    ///< Content-Length exceeds max_body_bytes
    length_required,   ///< a body without Content-Length
    malformed_length,  ///< Content-Length is not a number
    too_much_held,     ///< see http_server_settings::max_held_bytes
    unsupported_method ///< not in the method table, or no body allowed
};

/// Counters of one server, for the metrics of the owning process.
struct http_server_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t refused_connections = 0; ///< over max_connections
    std::uint64_t closed_for_new = 0;      ///< see closes_waiting_for_new
    std::uint64_t requests = 0;
    std::uint64_t refused_requests = 0; ///< see bad_request
    /// Connections closed before their request was complete.
    std::uint64_t closed_before_request = 0;
    /// Of closed_before_request: closed by head_timeout or body_timeout.
    std::uint64_t timed_out = 0;
};

/// Status, headers and body of a response sent in one piece.
struct http_answer
{
    int status = 400;
    header_list headers;
    std::string body;
};

/// HTTP/1.1 server on one address. Serves any number of requests concurrently.
class http_server
{
public:
    using request_handler = std::function<void(const exchange_ptr&)>;
    using refusal_handler = std::function<http_answer(bad_request)>;

    /// @param loop must outlive the server
    /// @param settings address, limits and timeouts
    /// @param on_request called with each complete request
    /// @param on_refusal returns the response to a refused request; may be
    /// empty
    /// @throws bind_error if the address cannot be bound
    http_server(event_loop& loop, http_server_settings settings,
                request_handler on_request, refusal_handler on_refusal = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @return the bound port
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// @return number of open connections
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return connections_.size();
    }

    /// @return bytes of bodies that count towards max_held_bytes
    [[nodiscard]] std::size_t held_bytes() const noexcept
    {
        return held_bytes_;
    }

    /// @return number of requests whose response was not yet accepted by the
    /// socket in full
    [[nodiscard]] std::size_t pending_answers() const noexcept;

    /// @return counters since the server was created
    [[nodiscard]] const http_server_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    friend class internal::server_connection;
    friend struct internal::server_callbacks;
    [[nodiscard]] bool admit_connection() noexcept;
    /// @return whether a connection is closed soon
    bool close_longest_waiting() noexcept;
    /// Refuses stalled bodies if that is needed.
    /// @return whether the connection may hold this much of max_held_bytes
    bool make_room(const internal::server_connection& c, std::size_t bytes);
    void close_disconnected();
    void schedule_disconnect_check();

    event_loop& loop_;
    http_server_settings settings_;
    request_handler on_request_;
    refusal_handler on_refusal_;
    std::shared_ptr<internal::server_callbacks> callbacks_;
    std::set<internal::server_connection*> connections_;
    http_server_counts counts_;
    std::size_t held_bytes_ = 0;   ///< of max_held_bytes
    std::uint64_t wait_count_ = 0; ///< orders the connections that wait
    timer_id disconnect_timer_ = 0;
    std::uint16_t port_ = 0;
};

} // namespace lovagegate::net

#endif
