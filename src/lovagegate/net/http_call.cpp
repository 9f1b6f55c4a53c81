#include "lovagegate/net/http_call.hpp"

#include "lovagegate/net/internal/headers.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <libwebsockets.h>
#include <sys/socket.h>

namespace lovagegate::net {

namespace {

constexpr std::size_t io_chunk_bytes = std::size_t{16} * 1024;
constexpr int first_final_status = 200;
constexpr int last_final_status = 599;

bool has_body(const client_request& request)
{
    return !request.body.empty() || request.method == "POST" ||
           request.method == "PUT" || request.method == "PATCH";
}

/// @return whether the target has closed the connection and all bytes it sent
/// were read
bool is_at_end_of_stream(::lws* wsi)
{
    char byte = 0;
    return ::recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
           0;
}

} // namespace

std::string_view to_string(call_failure f) noexcept
{
    switch (f) {
    case call_failure::connect_failed:
        return "connect_failed";
    case call_failure::connect_timeout:
        return "connect_timeout";
    case call_failure::broken_before_response:
        return "broken_before_response";
    case call_failure::response_timeout:
        return "response_timeout";
    case call_failure::broken_in_body:
        return "broken_in_body";
    case call_failure::body_timeout:
        return "body_timeout";
    case call_failure::not_a_response:
        return "not_a_response";
    }
    return "invalid";
}

http_call::http_call(event_loop& loop, client_request request,
                     call_events events)
    : loop_(loop), request_(std::move(request)), events_(std::move(events))
{
}

http_call::~http_call()
{
    clear_timer();
}

void http_call::start(::lws* wsi)
{
    wsi_ = wsi;
    if (!connected_)
        set_timer(request_.connect_timeout);
}

int http_call::on_handshake(unsigned char** at, std::size_t space)
{
    if (ended_)
        return -1;
    connected_ = true;
    const auto guard = shared_from_this();
    if (events_.on_connected)
        events_.on_connected();
    if (ended_)
        return -1;
    header_list headers = request_.headers;
    if (has_body(request_))
        headers.push_back(
            {"content-length", std::to_string(request_.body.size())});
    if (!internal::append_headers(wsi_, headers, at, space))
        return -1;
    if (!request_.body.empty()) {
        lws_client_http_body_pending(wsi_, 1);
        lws_callback_on_writable(wsi_);
    }
    set_timer(request_.response_timeout);
    return 0;
}

int http_call::write_body()
{
    static std::array<unsigned char, LWS_PRE + io_chunk_bytes> buffer;
    const std::size_t remaining = request_.body.size() - body_sent_;
    const std::size_t n = std::min(remaining, io_chunk_bytes);
    std::memcpy(buffer.data() + LWS_PRE, request_.body.data() + body_sent_, n);
    if (lws_write(wsi_, buffer.data() + LWS_PRE, n, LWS_WRITE_HTTP) < 0)
        return -1;
    body_sent_ += n;
    if (body_sent_ < request_.body.size()) {
        lws_callback_on_writable(wsi_);
    } else {
        lws_client_http_body_pending(wsi_, 0);
        request_.body = {};
        body_sent_ = 0;
    }
    return 0;
}

int http_call::on_writeable()
{
    if (ended_)
        return -1;
    if (!request_.body.empty())
        return write_body();
    if (has_unread_data_ && !paused_)
        return read_body();
    return 0;
}

int http_call::on_head()
{
    if (ended_)
        return -1;
    head_received_ = true;
    response_head head;
    head.status = static_cast<int>(lws_http_client_http_response(wsi_));
    if (head.status < first_final_status || head.status > last_final_status) {
        const auto guard = shared_from_this();
        fail(call_failure::not_a_response);
        return -1;
    }
    head.headers = internal::read_headers(wsi_);
    chunked_ = !head.header("transfer-encoding").empty();
    last_data_time_ = event_loop::now().mono;
    set_timer(request_.body_timeout);
    if (events_.on_response)
        events_.on_response(head);
    return ended_ ? -1 : 0;
}

int http_call::on_readable()
{
    if (ended_)
        return -1;
    if (paused_) {
        has_unread_data_ = true;
        return 0;
    }
    return read_body();
}

int http_call::read_body()
{
    std::array<char, LWS_PRE + io_chunk_bytes> buffer;
    char* at = buffer.data() + LWS_PRE;
    int size = static_cast<int>(io_chunk_bytes);
    has_unread_data_ = false;
    const bool was_at_end_of_stream = chunked_ && is_at_end_of_stream(wsi_);
    reading_ = true;
    data_in_read_ = false;
    const int n = lws_http_client_read(wsi_, &at, &size);
    reading_ = false;
    if (completed_ && !ended_)
        finish(was_at_end_of_stream && !data_in_read_);
    return n < 0 || ended_ ? -1 : 0;
}

void http_call::on_data(std::string_view data)
{
    if (ended_ || data.empty())
        return;
    data_in_read_ = true;
    last_data_time_ = event_loop::now().mono;
    if (events_.on_data)
        events_.on_data(data);
}

void http_call::on_completed()
{
    completed_ = true;
    if (!ended_ && !reading_)
        finish(false);
}

void http_call::finish(bool truncated)
{
    // libwebsockets reports a connection closed within a chunked body as the
    // end of the body.
    if (truncated) {
        fail(call_failure::broken_in_body);
        return;
    }
    end();
    const auto complete = std::move(events_.on_complete);
    events_ = {};
    if (complete)
        complete();
}

void http_call::on_closed()
{
    if (ended_ || reading_)
        return;
    if (!connected_)
        fail(call_failure::connect_failed);
    else if (head_received_)
        fail(call_failure::broken_in_body);
    else
        fail(call_failure::broken_before_response);
}

void http_call::fail(call_failure f)
{
    end();
    const auto failed = std::move(events_.on_failed);
    events_ = {};
    if (failed)
        failed(f);
}

void http_call::end()
{
    ended_ = true;
    clear_timer();
}

void http_call::cancel()
{
    end();
    // events_ is not cleared: one of its functions may be running now. They are
    // destroyed with the call.
    if (wsi_)
        lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT,
                        LWS_TO_KILL_ASYNC);
}

void http_call::pause()
{
    if (paused_ || ended_)
        return;
    paused_ = true;
    clear_timer();
    if (wsi_)
        lws_rx_flow_control(wsi_, 0);
}

void http_call::resume()
{
    if (!paused_ || ended_)
        return;
    paused_ = false;
    last_data_time_ = event_loop::now().mono;
    set_timer(request_.body_timeout);
    if (!wsi_)
        return;
    lws_rx_flow_control(wsi_, 1);
    if (has_unread_data_)
        lws_callback_on_writable(wsi_);
}

void http_call::on_timeout()
{
    const auto guard = shared_from_this();
    // The timer is not rearmed for each part of the body; the idle time is
    // checked when it fires.
    const auto idle = event_loop::now().mono - last_data_time_;
    if (head_received_ && idle < request_.body_timeout) {
        set_timer(request_.body_timeout - idle);
        return;
    }
    if (wsi_)
        lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT,
                        LWS_TO_KILL_ASYNC);
    if (!connected_)
        fail(call_failure::connect_timeout);
    else
        fail(head_received_ ? call_failure::body_timeout
                            : call_failure::response_timeout);
}

void http_call::set_timer(duration d)
{
    clear_timer();
    if (d > duration::zero())
        timer_ = loop_.call_later(d, [this] {
            timer_ = 0;
            on_timeout();
        });
}

void http_call::clear_timer()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
    timer_ = 0;
}

} // namespace lovagegate::net
