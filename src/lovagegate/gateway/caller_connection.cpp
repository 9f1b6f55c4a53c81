#include "lovagegate/gateway/caller_connection.hpp"

#include "platform/http_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace lovagegate::gateway {

namespace {

/// Maximum number of bytes that a caller may send ahead while its request is
/// answered; reading stops beyond it.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
/// Heads longer than the configured limit are read up to this size, so that
/// they can be refused with an answer.
constexpr std::size_t max_readable_head_bytes = std::size_t{70} * 1024;
/// Time limit for receiving a body, as a multiple of the time limit for heads.
constexpr int body_timeout_factor = 5;
/// A caller that doesn't close its connection this long after the last answer
/// is disconnected.
constexpr duration linger_timeout = 1s;

} // namespace

std::string_view to_string(close_reason c) noexcept
{
    switch (c) {
    case close_reason::caller_left:
        return "caller_left";
    case close_reason::idle:
        return "idle";
    case close_reason::stopping:
        return "stopping";
    case close_reason::last_answer:
        return "last_answer";
    case close_reason::cut:
        return "cut";
    case close_reason::process_ended:
        return "process_ended";
    }
    return "invalid";
}

caller_connection::caller_connection(caller_context& context, int fd)
    : context_(context),
      reader_(net::message_reader::kind::requests, max_readable_head_bytes),
      stream_(context.loop, fd, *this),
      state_since_(net::event_loop::now().mono)
{
}

bool caller_connection::is_idle() const noexcept
{
    // The event loop may be late, so that a request waits to be read.
    return !busy_ && !is_delivering() && !reader_.started() &&
           unread_.empty() && !stream_.has_unread_input();
}

bool caller_connection::on_data(std::string_view data)
{
    if (done_ || lingering_)
        return true;
    unread_.append(data);
    if (busy_) {
        if (unread_.size() > max_pipelined_bytes)
            stream_.enable_reading(false);
        return true;
    }
    const auto guard = shared_from_this();
    return read_requests();
}

bool caller_connection::read_requests()
{
    if (parsing_)
        return true;
    parsing_ = true;
    while (!busy_ && !done_ && !lingering_ && !unread_.empty()) {
        if (!reader_.started()) {
            state_since_ = net::event_loop::now().mono;
            // A refusal before the head is whole must not bear the id of the
            // previous request.
            attempt_id_.clear();
        }
        std::string_view data = unread_;
        const auto progress = reader_.read(
            data, [this](net::message_head& head) { on_head(head); },
            [this](std::string_view part) {
                if (body_.size() + part.size() > body_limit_)
                    too_large_ = true;
                else
                    body_.append(part);
            });
        unread_.erase(0, std::min(progress.used, unread_.size()));
        if (too_large_)
            refuse(413, "body too large");
        else if (progress.failure == net::parse_failure::head_too_large)
            refuse(431, "head too large");
        else if (progress.failure != net::parse_failure::none)
            refuse(400, "malformed request");
        else if (progress.complete)
            dispatch();
    }
    parsing_ = false;
    return !done_;
}

void caller_connection::on_head(const net::message_head& head)
{
    const caller_limits limits = context_.limits();
    body_limit_ = limits.body_bytes;
    attempt_id_ = platform_wire::answer_attempt_id(head);
    workspaces_ = context_.workspaces();
    const auto expect = head.header("Expect");
    if (net::same_name(expect, "100-continue"))
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
    std::size_t bytes = 0;
    for (const auto& h : head.headers)
        bytes += h.name.size() + h.value.size();
    std::size_t declared = 0;
    const auto length = head.header("Content-Length");
    std::from_chars(length.data(), length.data() + length.size(), declared);
    if (bytes > limits.head_bytes || declared > limits.body_bytes)
        too_large_ = true;
}

void caller_connection::dispatch()
{
    busy_ = true;
    close_after_ = !reader_.head().keep_alive;
    caller_message message{std::move(reader_.head()), std::move(body_),
                           net::event_loop::now().mono, std::move(workspaces_)};
    body_.clear();
    reader_.start();
    context_.on_request(shared_from_this(), std::move(message));
}

void caller_connection::refuse(int status, std::string_view reason)
{
    context_.on_bad_request(reason);
    busy_ = true;
    close_after_ = true;
    answer(status, reason);
}

void caller_connection::answer(int status, std::string_view reason,
                               std::optional<duration> retry_after)
{
    if (done_)
        return;
    close_after_ = close_after_ || context_.is_stopping();
    stream_.write(platform_wire::write_own_answer(status, attempt_id_, reason,
                                                  retry_after, close_after_));
    finish_answer();
}

void caller_connection::begin_answer(std::string_view head, bool chunked,
                                     bool close)
{
    chunked_ = chunked;
    close_after_ = close_after_ || close;
    stream_.write(head);
}

void caller_connection::send_body(std::string_view part)
{
    if (part.empty() || done_)
        return;
    if (!chunked_) {
        stream_.write(part);
        return;
    }
    std::array<char, 20> size{};
    const int n =
        std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string chunk;
    chunk.reserve(part.size() + size.size());
    chunk.append(size.data(), static_cast<std::size_t>(n));
    chunk += part;
    chunk += "\r\n";
    stream_.write(chunk);
}

void caller_connection::end_answer()
{
    if (done_)
        return;
    if (chunked_)
        stream_.write("0\r\n\r\n");
    finish_answer();
}

void caller_connection::finish_answer()
{
    disconnect_handler_ = nullptr;
    drained_handler_ = nullptr;
    chunked_ = false;
    busy_ = false;
    too_large_ = false;
    state_since_ = net::event_loop::now().mono;
    if (close_after_) {
        lingering_ = true;
        stream_.end_writing();
        return;
    }
    stream_.enable_reading(true);
    if (unread_.empty() || parsing_)
        return;
    // Deferred, because the answer may have been written from a callback.
    context_.loop.call_later(duration::zero(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->read_requests();
    });
}

void caller_connection::abort()
{
    if (done_)
        return;
    stream_.abort_on_close();
    disconnect_handler_ = nullptr;
    end_connection(close_reason::cut);
}

void caller_connection::on_end(net::stream_end)
{
    const auto guard = shared_from_this();
    const auto left = std::move(disconnect_handler_);
    disconnect_handler_ = nullptr;
    end_connection(lingering_ ? close_reason::last_answer
                              : close_reason::caller_left);
    if (left)
        left();
}

void caller_connection::on_drained()
{
    if (lingering_)
        state_since_ = net::event_loop::now().mono;
    const auto drained = drained_handler_;
    if (drained)
        drained();
}

void caller_connection::check_limits(time_point now)
{
    if (done_ || busy_)
        return;
    const auto limits = context_.limits();
    if (is_sending(now, limits.idle_timeout))
        return;
    const duration age = now - state_since_;
    if (lingering_) {
        if (age > linger_timeout)
            end_connection(close_reason::last_answer);
        return;
    }
    // If the event loop is late, what is overdue may have arrived unread.
    if (!reader_.started()) {
        if (age > limits.idle_timeout && !stream_.has_unread_input())
            close(close_reason::idle);
        return;
    }
    const bool head_overdue =
        !reader_.head_complete() && age > limits.head_timeout;
    const bool body_overdue = age > body_timeout_factor * limits.head_timeout;
    if ((!head_overdue && !body_overdue) || stream_.has_unread_input())
        return;
    refuse(408,
           head_overdue ? "the head took too long" : "the body took too long");
}

bool caller_connection::is_sending(time_point now, duration limit)
{
    const std::size_t left = unsent();
    const bool progress = left < last_unsent_ || last_unsent_ == 0;
    last_unsent_ = left;
    if (left == 0)
        return false;
    if (progress)
        state_since_ = now;
    else if (now - state_since_ > limit)
        end_connection(lingering_ ? close_reason::last_answer
                                  : close_reason::idle);
    return true;
}

void caller_connection::close(close_reason reason)
{
    if (!busy_)
        end_connection(reason);
}

void caller_connection::close_at_exit()
{
    disconnect_handler_ = nullptr;
    end_connection(close_reason::process_ended);
}

void caller_connection::end_connection(close_reason reason)
{
    if (done_)
        return;
    done_ = true;
    drained_handler_ = nullptr;
    context_.on_closed({reason, attempt_id_, busy_,
                        busy_ ? 0 : unread_.size() + body_.size(),
                        stream_.unsent()});
    context_.on_done(*this);
}

} // namespace lovagegate::gateway
