#include "lovagegate/net/internal/server_connection.hpp"

#include "lovagegate/net/internal/headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace lovagegate::net::internal {

namespace {

/// Maximum size of one lws_write(); libwebsockets buffers what the socket does
/// not accept.
constexpr std::size_t max_write_bytes = std::size_t{16} * 1024;
/// Sent bytes are erased from the front of the write buffer once they exceed
/// this.
constexpr std::size_t compaction_threshold_bytes = std::size_t{64} * 1024;
/// An empty write buffer with a larger capacity is freed.
constexpr std::size_t max_idle_buffer_bytes = std::size_t{16} * 1024;
/// Time that a refused caller may continue sending before its connection is
/// closed.
constexpr duration refused_request_timeout = 1s;

constexpr std::array<std::string_view, 9> method_names{
    "GET", "POST", "OPTIONS", "PUT", "PATCH", "DELETE", "CONNECT", "HEAD", ""};

/// Body length declared by Content-Length.
struct declared_length
{
    bool valid = true;
    bool present = false;
    std::uint64_t bytes = 0;
};

declared_length parse_content_length(const http_request& request)
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

bool method_allows_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

server_connection::server_connection(http_server& server, lws* wsi)
    : server_(server), wsi_(wsi)
{
    server_.connections_.insert(this);
    ++server_.counts_.accepted;
    waits_since_ = ++server_.wait_count_;
    receiving_request_ = true;
    set_timer(server_.settings_.head_timeout);
}

server_connection::~server_connection()
{
    on_disconnected();
    charge(0);
    server_.connections_.erase(this);
}

void server_connection::on_disconnected()
{
    if (receiving_request_ && !exchange_)
        ++server_.counts_.closed_before_request;
    receiving_request_ = false;
    if (!exchange_)
        return;
    const auto closed_exchange = std::move(exchange_);
    exchange_ = nullptr;
    closed_exchange->connection_ = nullptr;
    closed_exchange->on_drained_ = nullptr;
    const auto closed = std::move(closed_exchange->on_closed_);
    closed_exchange->on_closed_ = nullptr;
    if (closed && (!answer_complete_ || has_unsent_bytes()))
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
    receiving_request_ = true;
    answer_complete_ = false;
    read_head();
    if (request_.method.empty())
        return refuse(bad_request::unsupported_method);
    const auto length = parse_content_length(request_);
    if (!length.valid)
        return refuse(bad_request::malformed_length);
    if (!length.present && (method_allows_body(request_.method) ||
                            !request_.header("transfer-encoding").empty()))
        return refuse(bad_request::length_required);
    if (length.bytes > server_.settings_.max_body_bytes)
        return refuse(bad_request::body_too_large);
    if (length.bytes == 0)
        return dispatch();
    if (!method_allows_body(request_.method))
        return refuse(bad_request::unsupported_method);
    declared_bytes_ = static_cast<std::size_t>(length.bytes);
    set_timer(server_.settings_.body_timeout);
    if (!request_.header("expect").empty())
        append("HTTP/1.1 100 Continue\r\n\r\n");
    return 0;
}

int server_connection::on_body(std::string_view part)
{
    if (request_refused_ || exchange_)
        return 0;
    if (request_.body.size() + part.size() > server_.settings_.max_body_bytes)
        return -1;
    // The body grows as it arrives: what is reserved at once may be resident
    // although nothing was written to it, with huge pages.
    std::string& body = request_.body;
    const std::size_t size = body.size() + part.size();
    const std::size_t grown =
        size <= body.capacity()
            ? body.capacity()
            : std::max(size, std::min(declared_bytes_, 2 * body.capacity()));
    const std::size_t free = server_.settings_.free_body_bytes;
    const std::size_t charged = grown > free ? grown - free : 0;
    if (!server_.make_room(*this, charged))
        return refuse(bad_request::too_much_held);
    charge(charged);
    body.reserve(grown);
    body_at_ = event_loop::now().mono;
    body.append(part);
    return 0;
}

int server_connection::on_body_end()
{
    if (request_refused_)
        return 0;
    // For bytes that follow a body, libwebsockets repeats this event endlessly
    // and does not send the response. The connection is therefore closed if
    // bytes follow before the response is complete.
    if (exchange_)
        return -1;
    return dispatch();
}

void server_connection::charge(std::size_t bytes) noexcept
{
    server_.held_bytes_ += bytes - charged_;
    charged_ = bytes;
}

int server_connection::dispatch()
{
    clear_timer();
    receiving_request_ = false;
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
    request_refused_ = true;
    receiving_request_ = false;
    // Assigning an empty string would keep the buffer.
    std::string().swap(request_.body);
    charge(0);
    http_answer answer;
    if (server_.on_refusal_)
        answer = server_.on_refusal_(reason);
    answer.headers.push_back(
        {"content-length", std::to_string(answer.body.size())});
    answer.headers.push_back({"connection", "close"});
    append(format_head(answer.status, answer.headers));
    append(answer.body);
    set_timer(refused_request_timeout);
    return 0;
}

std::string server_connection::format_head(int status,
                                           const header_list& headers) const
{
    return response_head_text(wsi_, status, headers);
}

bool server_connection::supports_chunked() const
{
    std::array<char, 16> version{};
    lws_hdr_copy(wsi_, version.data(), static_cast<int>(version.size()),
                 WSI_TOKEN_HTTP);
    return std::strcmp(version.data(), "HTTP/1.0") != 0;
}

void server_connection::append(std::string_view data)
{
    if (sent_bytes_ > compaction_threshold_bytes) {
        write_buffer_.erase(0, sent_bytes_);
        sent_bytes_ = 0;
    }
    write_buffer_.append(data);
    lws_callback_on_writable(wsi_);
}

void server_connection::end_answer()
{
    answer_complete_ = true;
    waits_since_ = ++server_.wait_count_;
    lws_callback_on_writable(wsi_);
}

void server_connection::abort() noexcept
{
    aborted_ = true;
    lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
}

int server_connection::write_buffered()
{
    static std::array<unsigned char, LWS_PRE + max_write_bytes> buffer;
    const std::size_t n = std::min(buffered(), max_write_bytes);
    std::memcpy(buffer.data() + LWS_PRE, write_buffer_.data() + sent_bytes_, n);
    if (lws_write(wsi_, buffer.data() + LWS_PRE, n, LWS_WRITE_HTTP) < 0)
        return -1;
    sent_bytes_ += n;
    if (buffered() > 0) {
        lws_callback_on_writable(wsi_);
        return 0;
    }
    write_buffer_.clear();
    sent_bytes_ = 0;
    if (write_buffer_.capacity() > max_idle_buffer_bytes)
        write_buffer_.shrink_to_fit();
    return 0;
}

int server_connection::on_writeable()
{
    if (buffered() > 0) {
        if (write_buffered() != 0)
            return -1;
        if (buffered() > 0)
            return 0;
        const auto current = exchange_;
        if (current && current->on_drained_ && !answer_complete_)
            current->on_drained_();
    }
    if (buffered() > 0 || !exchange_ || !answer_complete_)
        return 0;
    if (!has_unsent_bytes())
        return end_transaction();
    // libwebsockets holds what the socket did not accept of the last write. A
    // caller that does not read it is disconnected like an idle one.
    set_timer(server_.settings_.idle_timeout);
    lws_callback_on_writable(wsi_);
    return 0;
}

bool server_connection::has_unsent_bytes() const noexcept
{
    return buffered() > 0 || lws_partial_buffered(wsi_) != 0;
}

int server_connection::end_transaction()
{
    exchange_->connection_ = nullptr;
    exchange_->on_closed_ = nullptr;
    exchange_->on_drained_ = nullptr;
    exchange_ = nullptr;
    answer_complete_ = false;
    charge(0);
    if (close_after_answer_)
        return -1;
    if (lws_http_transaction_completed(wsi_) != 0)
        return -1;
    set_timer(server_.settings_.idle_timeout);
    return 0;
}

int server_connection::on_timer()
{
    if (exchange_ && (!answer_complete_ || buffered() > 0))
        return 0;
    if (receiving_request_)
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
