#include "lovagegate/gateway/caller_connection.hpp"

#include "lovagegate/callers/deadlines.hpp"
#include "platform/http_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Maximum number of bytes that a caller may send ahead while its request is
/// answered; reading stops beyond it.
constexpr std::size_t max_pipelined_bytes = std::size_t{16} * 1024;
/// The next request is not read while more bytes of earlier answers are unsent.
constexpr std::size_t max_unsent_before_next_bytes = std::size_t{16} * 1024;
/// Requests of one caller that are read in one turn of the event loop. What
/// belongs to a request that was answered at once is kept until the turn ends.
constexpr int max_requests_per_turn = 4;
/// What a caller may send on after it was refused. Most callers that are
/// refused in the middle of a body read the answer if their bytes are taken.
constexpr std::size_t max_discarded_bytes = std::size_t{64} * 1024;
/// Held for each connection by this class, its stream and libwebsockets.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
/// A refused request finds room again when slow callers have been closed.
constexpr duration memory_retry_after = 1s;
/// Heads longer than the configured limit are read up to this size, so that
/// they can be refused with an answer.
constexpr std::size_t max_readable_head_bytes = std::size_t{70} * 1024;
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
    case close_reason::memory_full:
        return "memory_full";
    case close_reason::too_many:
        return "too_many";
    case close_reason::slow_reader:
        return "slow_reader";
    }
    return "invalid";
}

caller_connection::caller_connection(caller_context& context, int fd,
                                     std::string address)
    : context_(context),
      reader_(net::message_reader::kind::requests, max_readable_head_bytes),
      stream_(context.loop, fd, *this),
      account_(context.account, std::move(address), net::event_loop::now().mono,
               [this](callers::eviction why) { on_evicted(why); }),
      state_since_(net::event_loop::now().mono)
{
    account_.hold_anyway(connection_bytes);
}

bool caller_connection::is_idle() const noexcept
{
    // The event loop may be late, so that a request waits to be read.
    return !busy_ && !is_delivering() && !reader_.started() &&
           unread_.empty() && !stream_.has_unread_input();
}

bool caller_connection::on_data(std::string_view data)
{
    if (done_)
        return true;
    if (lingering_) {
        discarded_bytes_ += data.size();
        update_reading();
        return true;
    }
    const auto guard = shared_from_this();
    account_.on_progress(data.size(), net::event_loop::now().mono);
    if (busy_ || !unread_.empty() || is_clogged()) {
        unread_.append(data);
        update_reading();
        hold_or_end();
    } else {
        read_requests(data);
    }
    return !done_;
}

void caller_connection::read_pending()
{
    if (!done_ && !busy_ && !is_clogged() && !unread_.empty())
        read_requests(std::exchange(unread_, {}));
}

void caller_connection::read_requests(std::string_view data)
{
    if (parsing_)
        return;
    parsing_ = true;
    int complete = 0;
    while (!busy_ && !done_ && !lingering_ && !is_clogged() && !data.empty() &&
           complete < max_requests_per_turn) {
        if (!reader_.started()) {
            state_since_ = net::event_loop::now().mono;
            account_.set_stage(callers::stage::receiving, state_since_);
            // A refusal before the head is whole must not bear the id of the
            // previous request.
            attempt_id_.clear();
        }
        const auto progress = reader_.read(
            data, [this](net::message_head& head) { on_head(head); },
            [this](std::string_view part) { append_body(part); });
        data.remove_prefix(std::min(progress.used, data.size()));
        check_progress(progress);
        complete += progress.complete ? 1 : 0;
    }
    parsing_ = false;
    if (done_)
        return;
    if (!lingering_)
        unread_.append(data);
    update_reading();
    hold_or_end();
    if (!busy_)
        schedule_pending();
}

void caller_connection::check_progress(
    const net::message_reader::progress& progress)
{
    if (too_large_ || progress.failure == net::parse_failure::body_too_large)
        refuse(413, "body too large");
    else if (progress.failure == net::parse_failure::head_too_large)
        refuse(431, "head too large");
    else if (progress.failure != net::parse_failure::none)
        refuse(400, "malformed request");
    else if (progress.complete)
        dispatch();
}

void caller_connection::append_body(std::string_view part)
{
    const std::size_t size = body_.size() + part.size();
    if (size > body_limit_) {
        too_large_ = true;
        return;
    }
    // No more is reserved than the request can have.
    const std::size_t most =
        declared_bytes_ > 0 ? declared_bytes_ : body_limit_;
    if (size > body_.capacity())
        body_.reserve(std::max(size, std::min(most, 2 * body_.capacity())));
    body_.append(part);
}

void caller_connection::on_head(const net::message_head& head)
{
    const caller_limits limits = context_.limits();
    body_limit_ = limits.body_bytes;
    reader_.limit_body(body_limit_);
    attempt_id_ = platform_wire::answer_attempt_id(head);
    workspaces_ = context_.workspaces();
    const auto expect = head.header("Expect");
    std::size_t bytes = 0;
    for (const auto& h : head.headers)
        bytes += h.name.size() + h.value.size();
    declared_bytes_ = 0;
    const auto length = head.header("Content-Length");
    std::from_chars(length.data(), length.data() + length.size(),
                    declared_bytes_);
    if (bytes > limits.head_bytes || declared_bytes_ > limits.body_bytes)
        too_large_ = true;
    else if (net::same_name(expect, "100-continue"))
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::dispatch()
{
    const time_point now = net::event_loop::now().mono;
    // The head and the body are written once more when they are sent.
    const std::size_t running =
        2 * reader_.held_bytes() + body_.capacity() + body_.size();
    if (!account_.hold(connection_bytes + running + unsent(), now)) {
        refuse(503, "too much is held for callers", memory_retry_after);
        return;
    }
    busy_ = true;
    running_bytes_ = running;
    account_.set_stage(callers::stage::answering, now);
    close_after_ = !reader_.head().keep_alive;
    caller_message message{std::move(reader_.head()), std::move(body_), now,
                           std::move(workspaces_)};
    body_ = {};
    reader_.start();
    context_.on_request(shared_from_this(), std::move(message));
}

void caller_connection::release_request()
{
    // Assigning an empty string would keep the buffers.
    std::string().swap(body_);
    std::string().swap(unread_);
    reader_.start();
}

void caller_connection::refuse(int status, std::string_view reason,
                               std::optional<duration> retry_after)
{
    context_.on_bad_request(reason);
    release_request();
    busy_ = true;
    close_after_ = true;
    answer(status, reason, retry_after);
}

bool caller_connection::is_clogged() const noexcept
{
    return unsent() > max_unsent_before_next_bytes;
}

void caller_connection::update_reading()
{
    const bool reads = lingering_ ? discarded_bytes_ <= max_discarded_bytes
                                  : unread_.size() <= max_pipelined_bytes &&
                                        (busy_ || !is_clogged());
    if (std::exchange(reading_, reads) != reads)
        stream_.enable_reading(reads);
}

std::size_t caller_connection::held_bytes() const noexcept
{
    return connection_bytes + running_bytes_ + reader_.held_bytes() +
           body_.capacity() + unread_.capacity() + unsent();
}

void caller_connection::hold_or_end()
{
    if (done_)
        return;
    if (busy_ || lingering_)
        account_.hold_anyway(held_bytes());
    else if (!account_.hold(held_bytes(), net::event_loop::now().mono))
        on_evicted(callers::eviction::memory);
}

void caller_connection::on_evicted(callers::eviction why)
{
    const auto guard = shared_from_this();
    const bool is_request = reader_.started();
    release_request();
    if (why == callers::eviction::connections)
        end_connection(close_reason::too_many);
    else if (is_request && !is_clogged())
        refuse(503, "too much is held for callers", memory_retry_after);
    else
        abort_with(close_reason::memory_full);
    account_.hold_anyway(done_ ? 0 : held_bytes());
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
    running_bytes_ = 0;
    state_since_ = delivery_since_ = net::event_loop::now().mono;
    last_unsent_ = delivery_bytes_ = unsent();
    lingering_ = close_after_;
    account_.set_stage(unsent() > 0 ? callers::stage::delivering
                                    : callers::stage::idle,
                       state_since_);
    if (lingering_)
        stream_.end_writing();
    update_reading();
    if (!parsing_)
        account_.hold_anyway(held_bytes());
    if (!parsing_)
        schedule_pending();
}

void caller_connection::schedule_pending()
{
    if (done_ || lingering_ || unread_.empty() ||
        std::exchange(pending_scheduled_, true))
        return;
    // Deferred, because the answer may have been written from a callback.
    context_.loop.call_later(duration::zero(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->pending_scheduled_ = false;
            self->read_pending();
        }
    });
}

void caller_connection::abort()
{
    abort_with(close_reason::cut);
}

void caller_connection::abort_with(close_reason reason)
{
    if (done_)
        return;
    stream_.abort_on_close();
    disconnect_handler_ = nullptr;
    end_connection(reason);
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
    const auto guard = shared_from_this();
    if (lingering_)
        state_since_ = net::event_loop::now().mono;
    else if (!busy_ && !reader_.started())
        account_.set_stage(callers::stage::idle, net::event_loop::now().mono);
    const auto drained = drained_handler_;
    if (drained)
        drained();
    if (done_)
        return;
    update_reading();
    if (!busy_)
        read_pending();
}

void caller_connection::check_limits(time_point now)
{
    if (done_)
        return;
    if (busy_) {
        account_.hold_anyway(held_bytes());
        return;
    }
    const auto limits = context_.limits();
    if (is_sending(now, limits.idle_timeout))
        return;
    const duration age = now - state_since_;
    if (lingering_) {
        if (age > linger_timeout)
            end_connection(close_reason::last_answer);
        return;
    }
    const bool has_input = stream_.has_unread_input();
    if (!reader_.started()) {
        // If the event loop is late, what is overdue may have arrived unread.
        if (age > limits.idle_timeout && !has_input)
            close(close_reason::idle);
        return;
    }
    switch (callers::overdue_part(
        {age, reader_.head_complete(), reader_.body_bytes(), has_input},
        limits.head_timeout)) {
    case callers::overdue::head:
        refuse(408, "the head took too long");
        return;
    case callers::overdue::body:
        refuse(408, "the body took too long");
        return;
    case callers::overdue::nothing:
        return;
    }
}

bool caller_connection::is_sending(time_point now, duration limit)
{
    const std::size_t left = unsent();
    const std::size_t before = std::exchange(last_unsent_, left);
    if (left == 0)
        return false;
    if (left < before) {
        account_.on_progress(before - left, now);
        account_.hold_anyway(held_bytes());
        state_since_ = now;
    }
    const bool slow = now - delivery_since_ >
                      callers::delivery_timeout(limit, delivery_bytes_);
    if (now - state_since_ > limit)
        end_connection(lingering_ ? close_reason::last_answer
                                  : close_reason::idle);
    else if (slow)
        end_connection(close_reason::slow_reader);
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
