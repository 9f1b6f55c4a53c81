#ifndef LOVAGEGATE_NET_HTTP_CALL_HPP
#define LOVAGEGATE_NET_HTTP_CALL_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace lovagegate::net {

class http_client;
namespace internal {
struct client_callbacks;
}

/// A request to send.
struct client_request
{
    std::string address; ///< IP address of the target
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path = "/"; ///< with the query, percent-encoded
    header_list headers;
    std::string body;
    duration connect_timeout = 2s;
    /// From the connection to the head of the response; zero: none.
    duration response_timeout = 60s;
    /// Between two parts of the body of the response; zero: none.
    duration body_timeout = 60s;
};

/// Why a call failed, by how far it had come.
enum class call_failure : std::uint8_t
{
    connect_failed,         ///< no connection: nothing was sent
    connect_timeout,        ///< no connection in time: nothing was sent
    broken_before_response, ///< closed after bytes may have been sent
    response_timeout,       ///< no head of the response in time
    broken_in_body,         ///< closed before the end of the body
    body_timeout,           ///< the body stopped
};

/// @return the name used in counters and logs
[[nodiscard]] std::string_view to_string(call_failure f) noexcept;

/// @return whether provably no byte of the request was sent
[[nodiscard]] constexpr bool nothing_sent(call_failure f) noexcept
{
    return f == call_failure::connect_failed ||
           f == call_failure::connect_timeout;
}

/// What happens to a call. Each function may be empty. After on_complete or
/// on_failed, exactly one of which runs unless the call is cancelled, nothing
/// follows.
struct call_events
{
    /// The connection is open: bytes may be sent from now on.
    std::function<void()> on_connected;
    std::function<void(const response_head&)> on_response;
    std::function<void(std::string_view)> on_data;
    /// The whole body was received, by its length or its last chunk.
    std::function<void()> on_complete;
    std::function<void(call_failure)> on_failed;
};

/// One request on a connection of its own. Connections are not reused: a
/// kept connection that the target has closed meanwhile would make it
/// impossible to tell whether the request was sent.
class http_call : public std::enable_shared_from_this<http_call>
{
public:
    http_call(event_loop& loop, client_request request, call_events events);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Closes the connection; no event follows.
    void cancel();

    /// Stops reading the body until resume(). A part that was already read
    /// is still delivered.
    void pause();

    /// Goes on reading the body.
    void resume();

    /// @return whether bytes of the request may have been sent
    [[nodiscard]] bool may_have_been_sent() const noexcept
    {
        return connected_;
    }

    /// @return whether the call has neither ended nor been cancelled
    [[nodiscard]] bool is_open() const noexcept { return !ended_; }

private:
    friend class http_client;
    friend struct internal::client_callbacks;

    void start(::lws* wsi);
    int on_handshake(unsigned char** at, std::size_t space);
    int on_head();
    int on_readable();
    int on_writeable();
    int read_body();
    int write_body();
    void on_data(std::string_view data);
    void on_completed();
    void finish(bool truncated);
    void on_closed();
    void fail(call_failure f);
    void on_timeout();
    void set_timer(duration d);
    void clear_timer();
    void end();

    event_loop& loop_;
    client_request request_;
    call_events events_;
    std::shared_ptr<http_call> self_; ///< while the library refers to it
    ::lws* wsi_ = nullptr;
    std::size_t body_sent_ = 0;
    timer_id timer_ = 0;
    time_point last_data_time_{};
    bool connected_ = false;
    bool head_received_ = false;
    bool paused_ = false;
    bool has_unread_data_ = false;
    bool chunked_ = false;
    bool reading_ = false;      ///< the library is reading the body
    bool data_in_read_ = false; ///< in this read
    bool completed_ = false;
    bool ended_ = false;
};

using http_call_ptr = std::shared_ptr<http_call>;

} // namespace lovagegate::net

#endif
