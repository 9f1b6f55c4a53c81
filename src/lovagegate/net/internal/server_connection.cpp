#include "lovagegate/net/internal/server_connection.hpp"

#include "lovagegate/net/internal/headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace lovagegate::net::internal {

namespace {

/// Given to the library at once; what the socket does not take it keeps.
constexpr std::size_t write_bytes = std::size_t{16} * 1024;
/// Sent bytes are dropped from the front when they are this many.
constexpr std::size_t compact_bytes = std::size_t{64} * 1024;
/// Buffers larger than this are given back when they are empty.
constexpr std::size_t keep_bytes = std::size_t{16} * 1024;
/// How long a refused sender may go on before the connection is closed.
constexpr duration refused_linger = 1s;

constexpr std::array<std::string_view, 9> method_names{
    "GET", "POST", "OPTIONS", "PUT", "PATCH", "DELETE", "CONNECT", "HEAD", ""};

/// A body length as declared by the head.
struct declared_length
{
    bool valid = true;
    bool present = false;
    std::uint64_t bytes = 0;
};

declared_length read_length(const http_request& request)
{
    const auto text = request.header("content-length");
    if (text.empty())
        return {};
    declared_length length{.present = true};
    const char* const end = text.data() + text.size();
    const auto [at, failure] = std::from_chars(text.data(), end, length.bytes);
    length.valid = failure == std::errc() && at == end;
    return length;
}

bool may_have_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

server_connection::server_connection(http_server& server, lws* wsi)
    : server_(server), wsi_(wsi)
{
    server_.connections_.insert(this);
    ++server_.counts_.accepted;
    reading_ = true;
    set_timer(server_.settings_.head_timeout);
}

server_connection::~server_connection()
{
    on_gone();
    server_.connections_.erase(this);
}

void server_connection::on_gone()
{
    if (reading_ && !exchange_)
        ++server_.counts_.closed_unread;
    reading_ = false;
    if (!exchange_)
        return;
    const auto gone = std::move(exchange_);
    exchange_ = nullptr;
    gone->connection_ = nullptr;
    gone->drained_ = nullptr;
    const auto closed = std::move(gone->closed_);
    gone->closed_ = nullptr;
    if (closed && (!ended_ || buffered() > 0))
        closed();
}

void server_connection::read_head()
{
    char* path = nullptr;
    int length = 0;
    const int method = lws_http_get_uri_and_method(wsi_, &path, &length);
    request_ = {};
    if (method >= 0 && static_cast<std::size_t>(method) < method_names.size())
        request_.method = method_names[static_cast<std::size_t>(method)];
    if (method >= 0)
        request_.path.assign(path, static_cast<std::size_t>(length));
    request_.query = read_query(wsi_);
    request_.headers = read_headers(wsi_);
    std::array<char, 64> peer{};
    lws_get_peer_simple(wsi_, peer.data(), peer.size());
    request_.peer = peer.data();
}

int server_connection::on_head()
{
    lws_set_timeout(wsi_, NO_PENDING_TIMEOUT, 0);
    reading_ = true;
    ended_ = false;
    read_head();
    if (request_.method.empty())
        return refuse(bad_request::unsupported_method);
    const auto length = read_length(request_);
    if (!length.valid)
        return refuse(bad_request::malformed_length);
    if (!length.present && (may_have_body(request_.method) ||
                            !request_.header("transfer-encoding").empty()))
        return refuse(bad_request::length_required);
    if (length.bytes > server_.settings_.max_body_bytes)
        return refuse(bad_request::body_too_large);
    if (length.bytes == 0)
        return dispatch();
    if (!may_have_body(request_.method))
        return refuse(bad_request::unsupported_method);
    request_.body.reserve(length.bytes);
    set_timer(server_.settings_.body_timeout);
    if (!request_.header("expect").empty())
        append("HTTP/1.1 100 Continue\r\n\r\n");
    return 0;
}

int server_connection::on_body(std::string_view part)
{
    if (refused_ || exchange_)
        return 0;
    if (request_.body.size() + part.size() > server_.settings_.max_body_bytes)
        return -1;
    request_.body.append(part);
    return 0;
}

int server_connection::on_body_end()
{
    if (refused_)
        return 0;
    // The library repeats the event for bytes that follow the body, without
    // end and without sending the answer: nothing may follow a body until it
    // is answered.
    if (exchange_)
        return -1;
    return dispatch();
}

int server_connection::dispatch()
{
    clear_timer();
    reading_ = false;
    ++server_.counts_.requests;
    exchange_ = std::make_shared<exchange>(*this, std::move(request_));
    request_ = {};
    const auto current = exchange_;
    server_.on_request_(current);
    return 0;
}

int server_connection::refuse(bad_request reason)
{
    ++server_.counts_.refused_requests;
    refused_ = true;
    reading_ = false;
    http_answer answer;
    if (server_.on_refusal_)
        answer = server_.on_refusal_(reason);
    answer.headers.push_back(
        {"content-length", std::to_string(answer.body.size())});
    answer.headers.push_back({"connection", "close"});
    append(head_text(answer.status, answer.headers));
    append(answer.body);
    set_timer(refused_linger);
    return 0;
}

std::string server_connection::head_text(int status,
                                         const header_list& headers) const
{
    return response_head_text(wsi_, status, headers);
}

bool server_connection::takes_chunks() const
{
    std::array<char, 16> version{};
    lws_hdr_copy(wsi_, version.data(), static_cast<int>(version.size()),
                 WSI_TOKEN_HTTP);
    return std::strcmp(version.data(), "HTTP/1.0") != 0;
}

void server_connection::append(std::string_view data)
{
    if (sent_ > compact_bytes) {
        out_.erase(0, sent_);
        sent_ = 0;
    }
    out_.append(data);
    lws_callback_on_writable(wsi_);
}

void server_connection::answer_ended()
{
    ended_ = true;
    lws_callback_on_writable(wsi_);
}

void server_connection::kill() noexcept
{
    lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
}

int server_connection::send_part()
{
    static std::array<unsigned char, LWS_PRE + write_bytes> buffer;
    const std::size_t n = std::min(buffered(), write_bytes);
    std::memcpy(buffer.data() + LWS_PRE, out_.data() + sent_, n);
    if (lws_write(wsi_, buffer.data() + LWS_PRE, n, LWS_WRITE_HTTP) < 0)
        return -1;
    sent_ += n;
    if (buffered() > 0) {
        lws_callback_on_writable(wsi_);
        return 0;
    }
    out_.clear();
    sent_ = 0;
    if (out_.capacity() > keep_bytes)
        out_.shrink_to_fit();
    return 0;
}

int server_connection::on_writeable()
{
    if (buffered() > 0) {
        if (send_part() != 0)
            return -1;
        if (buffered() > 0)
            return 0;
        const auto current = exchange_;
        if (current && current->drained_ && !ended_)
            current->drained_();
    }
    if (buffered() == 0 && exchange_ && ended_)
        return end_transaction();
    return 0;
}

int server_connection::end_transaction()
{
    exchange_->connection_ = nullptr;
    exchange_->closed_ = nullptr;
    exchange_->drained_ = nullptr;
    exchange_ = nullptr;
    ended_ = false;
    if (close_after_answer_)
        return -1;
    if (lws_http_transaction_completed(wsi_) != 0)
        return -1;
    set_timer(server_.settings_.idle_timeout);
    return 0;
}

int server_connection::on_timer()
{
    if (exchange_)
        return 0;
    if (reading_)
        ++server_.counts_.timed_out;
    return -1;
}

void server_connection::set_timer(duration d) noexcept
{
    lws_set_timer_usecs(wsi_, d.count());
}

void server_connection::clear_timer() noexcept
{
    lws_set_timer_usecs(wsi_, LWS_SET_TIMER_USEC_CANCEL);
}

} // namespace lovagegate::net::internal
