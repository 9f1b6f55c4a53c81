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

/// A request to send and its timeouts.
struct client_request
{
    std::string address; ///< IP address of the target
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path = "/"; ///< percent-encoded, includes the query
    header_list headers;
    std::string body;
    duration connect_timeout = 2s;
    /// From sending the request head to receiving the response head; zero
    /// disables it.
    duration response_timeout = 60s;
    /// Between two parts of the response body; zero disables it.
    duration body_timeout = 60s;
};

/// Why a call failed, by the stage it had reached.
enum class call_failure : std::uint8_t
{
    connect_failed,         ///< not connected; no bytes were sent
    connect_timeout,        ///< not connected in time; no bytes were sent
    broken_before_response, ///< closed before the response head
    response_timeout,       ///< no response head in time
    broken_in_body,         ///< closed before the end of the response body
    body_timeout,           ///< no further part of the response body in time
    not_a_response,         ///< its status isn't one of a final response
};

/// @return the name used in metrics and logs
[[nodiscard]] std::string_view to_string(call_failure f) noexcept;

/// @return whether it is certain that no byte of the request was sent
[[nodiscard]] constexpr bool nothing_sent(call_failure f) noexcept
{
    return f == call_failure::connect_failed ||
           f == call_failure::connect_timeout;
}

/// Callbacks of a call. Each function may be empty. Unless the call is
/// cancelled, exactly one of on_complete and on_failed is called, and it is the
/// last callback.
struct call_events
{
    /// Called when the connection is open; request bytes may be sent from now
    /// on.
    std::function<void()> on_connected;
    std::function<void(const response_head&)> on_response;
    std::function<void(std::string_view)> on_data;
    /// Called when the whole body was received, as delimited by its length or
    /// its last chunk.
    std::function<void()> on_complete;
    std::function<void(call_failure)> on_failed;
};

/// One request on its own connection. Connections are not reused: if the target
/// closes an idle connection while a request is written to it, the client
/// cannot tell whether the request was received.
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

    /// Resumes reading the body after pause().
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
    std::shared_ptr<http_call> self_; ///< while libwebsockets uses it
    ::lws* wsi_ = nullptr;
    std::size_t body_sent_ = 0;
    timer_id timer_ = 0;
    time_point last_data_time_{};
    bool connected_ = false;
    bool head_received_ = false;
    bool paused_ = false;
    bool has_unread_data_ = false;
    bool chunked_ = false;
    bool reading_ = false;      ///< set during lws_http_client_read()
    bool data_in_read_ = false; ///< body data was received in the current read
    bool completed_ = false;
    bool ended_ = false;
};

using http_call_ptr = std::shared_ptr<http_call>;

} // namespace lovagegate::net

#endif
