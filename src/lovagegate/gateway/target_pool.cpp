#include "lovagegate/gateway/target_pool.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/tcp_stream.hpp"
#include "platform/http_fields.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace lovagegate::gateway {

std::string_view to_string(call_failure f) noexcept
{
    switch (f) {
    case call_failure::no_connection:
        return "no_connection";
    case call_failure::refused:
        return "refused";
    case call_failure::unreachable:
        return "unreachable";
    case call_failure::before_answer:
        return "before_answer";
    case call_failure::within_answer:
        return "within_answer";
    case call_failure::not_an_answer:
        return "not_an_answer";
    }
    return "invalid";
}

namespace internal {

namespace {

/// Kept connections are closed this long before the timeout that the target
/// announces.
constexpr duration keep_alive_margin = 400ms;

/// A connection on which its target has refused this many attempts isn't used
/// again, which bounds the list of refused attempts.
constexpr std::size_t max_refused_attempts = 32;

constexpr int first_interim_status = 100;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_final_status = 599;

/// @return whether another head follows that is the answer. An interim answer
///         has neither a body nor the marks of a target's answer.
bool is_interim(const net::message_head& head)
{
    const bool is_final = head.has("Content-Length") ||
                          head.has("Transfer-Encoding") ||
                          platform_wire::read_answer(head).signed_by_target ||
                          platform_wire::read_answer(head).not_run;
    return head.status >= first_interim_status &&
           head.status < first_final_status &&
           head.status != switching_protocols && !is_final;
}

/// @return whether HTTP allows a caller to take the status for a final one
bool is_final_status(int status)
{
    return status >= first_final_status && status <= last_final_status;
}

/// @return the value of "timeout=N" in a Keep-Alive header
std::optional<duration> parse_keep_alive_timeout(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const auto at = value.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    std::int64_t seconds = 0;
    const char* const from = value.data() + at + key.size();
    if (std::from_chars(from, value.data() + value.size(), seconds).ec !=
        std::errc())
        return std::nullopt;
    return std::chrono::duration_cast<duration>(std::chrono::seconds(seconds));
}

} // namespace

/// One connection to a target: idle, or in use by one request.
class target_connection final : private net::stream_handler
{
public:
    target_connection(target_pool& pool, std::string target,
                      const settings::endpoint& address)
        : pool_(pool), target_(std::move(target)),
          reader_(net::message_reader::kind::responses,
                  pool.settings_.max_head_bytes),
          stream_(pool.loop_, address, pool.settings_.acknowledgement_timeout,
                  *this)
    {
        connect_timer_ =
            pool_.loop_.call_later(pool_.settings_.connect_timeout, [this] {
                connect_timer_ = 0;
                fail(call_failure::unreachable);
            });
    }

    ~target_connection() { clear_timer(); }
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    void start(const target_request& request, target_call& call,
               call_handler& handler)
    {
        call_ = &call;
        handler_ = &handler;
        attempt_id_ = request.attempt_id;
        skipping_ = false;
        skipped_bytes_ = 0;
        head_received_ = false;
        is_head_request_ = request.is_head_method;
        reader_.start(is_head_request_);
        if (request.body.empty()) {
            stream_.write(request.head);
            return;
        }
        // Sends a short request in a single segment.
        std::string all;
        all.reserve(request.head.size() + request.body.size());
        all += request.head;
        all += request.body;
        stream_.write(all);
    }

    /// Called when the call is destroyed. The connection is closed, so that a
    /// late answer can't reach another request.
    void abandon()
    {
        call_ = nullptr;
        handler_ = nullptr;
        stream_.abort_on_close();
        pool_.discard(*this);
    }

    void set_reading(bool on) { stream_.enable_reading(on); }

    [[nodiscard]] bool is_idle() const noexcept { return call_ == nullptr; }
    [[nodiscard]] bool has_unread_input() const noexcept
    {
        return stream_.has_unread_input();
    }
    /// @return whether the target has refused this attempt here. It may repeat
    ///         the refusal, which would then pass for the answer to another
    ///         send of the attempt.
    [[nodiscard]] bool has_refused(std::string_view attempt_id) const
    {
        return std::ranges::find(refused_attempts_, attempt_id) !=
               refused_attempts_.end();
    }
    [[nodiscard]] const std::string& target() const noexcept { return target_; }
    [[nodiscard]] time_point idle_since() const noexcept { return idle_since_; }
    [[nodiscard]] time_point idle_until() const noexcept { return idle_until_; }

private:
    void on_connected() override { clear_timer(); }

    bool on_data(std::string_view data) override
    {
        while (!data.empty()) {
            if (is_idle()) {
                // Bytes received without a pending request.
                ++pool_.counts_.unexpected_answers;
                pool_.discard(*this);
                return false;
            }
            if (!read_answer(data))
                return false;
        }
        return true;
    }

    /// @return false if the connection is no longer in use
    bool read_answer(std::string_view& data)
    {
        const auto progress = reader_.read(
            data, [this](net::message_head& head) { on_head(head); },
            [this](std::string_view part) {
                if (handler_ && !skipping_)
                    handler_->on_answer_body(part);
            });
        if (is_idle()) // the call was destroyed in a callback
            return false;
        if (progress.failure != net::parse_failure::none || is_unusable_) {
            fail(call_failure::not_an_answer);
            return false;
        }
        const std::size_t used = std::min(progress.used, data.size());
        data.remove_prefix(used);
        if (skipping_ && !count_skipped(used)) {
            fail(call_failure::not_an_answer);
            return false;
        }
        if (!progress.complete)
            return true;
        if (skipping_) {
            skipping_ = false;
            reader_.start(is_head_request_);
            return true;
        }
        return complete(data.empty());
    }

    /// Counts skipped bytes.
    /// @return whether the limit for skipped bytes is not exceeded
    bool count_skipped(std::size_t bytes)
    {
        skipped_bytes_ += bytes;
        return skipped_bytes_ <= pool_.settings_.max_skipped_bytes;
    }

    void on_head(net::message_head& head)
    {
        const auto id = platform_wire::answer_attempt_id(head);
        const bool other =
            !attempt_id_.empty() && !id.empty() && id != attempt_id_;
        const bool interim = is_interim(head);
        is_unusable_ = !other && !interim && !is_final_status(head.status);
        if (other || interim || is_unusable_) {
            skipping_ = true;
            if (other) {
                ++pool_.counts_.unexpected_answers;
                not_reusable_ = true;
            }
            return;
        }
        head_received_ = true;
        if (platform_wire::read_answer(head).not_run)
            record_refusal(id);
        const auto limit = parse_keep_alive_timeout(head.header("Keep-Alive"));
        idle_allowance_ = std::min(limit ? *limit - keep_alive_margin
                                         : pool_.settings_.idle_timeout,
                                   pool_.settings_.idle_timeout);
        handler_->on_answer_head(head);
    }

    /// @param id attempt that the refusal names, empty if it names none
    void record_refusal(std::string_view id)
    {
        // Nothing would tell a repeated refusal without an id from the answer
        // to the next request.
        if (id.empty() || refused_attempts_.size() >= max_refused_attempts)
            not_reusable_ = true;
        else
            refused_attempts_.emplace_back(id);
    }

    /// @param nothing_follows whether no bytes were received after the answer
    bool complete(bool nothing_follows)
    {
        const bool reusable =
            nothing_follows && !not_reusable_ && reader_.head().keep_alive &&
            stream_.unsent() == 0 && idle_allowance_ > duration::zero();
        if (!nothing_follows)
            ++pool_.counts_.unexpected_answers;
        call_handler* const handler = detach_call();
        if (reusable) {
            idle_since_ = net::event_loop::now().mono;
            idle_until_ = idle_since_ + idle_allowance_;
        } else {
            pool_.discard(*this);
        }
        handler->on_answer_end();
        return reusable && !is_discarded_;
    }

    void on_end(net::stream_end how) override
    {
        if (is_idle()) {
            pool_.discard(*this);
            return;
        }
        if (how == net::stream_end::end_of_data && head_received_ &&
            !skipping_ && reader_.end_of_data()) {
            call_handler* const handler = detach_call();
            pool_.discard(*this);
            handler->on_answer_end();
            return;
        }
        if (how == net::stream_end::connect_failed)
            fail(stream_.is_refused() ? call_failure::refused
                                      : call_failure::unreachable);
        else
            fail(head_received_ ? call_failure::within_answer
                                : call_failure::before_answer);
    }

    void fail(call_failure f)
    {
        clear_timer();
        call_handler* const handler = detach_call();
        stream_.abort_on_close();
        pool_.discard(*this);
        if (handler)
            handler->on_call_failed(f);
    }

    call_handler* detach_call()
    {
        call_handler* const handler = handler_;
        if (call_)
            call_->connection_ = nullptr;
        call_ = nullptr;
        handler_ = nullptr;
        return handler;
    }

    void clear_timer()
    {
        if (connect_timer_ != 0)
            pool_.loop_.cancel(connect_timer_);
        connect_timer_ = 0;
    }

    friend class gateway::target_pool;

    target_pool& pool_;
    std::string target_;
    net::message_reader reader_;
    net::tcp_stream stream_;
    target_call* call_ = nullptr;
    call_handler* handler_ = nullptr;
    std::string attempt_id_;
    net::timer_id connect_timer_ = 0;
    time_point idle_since_{};
    time_point idle_until_{};
    duration idle_allowance_{};
    std::size_t skipped_bytes_ =
        0; ///< of interim answers and of answers to other requests
    std::vector<std::string> refused_attempts_;
    bool head_received_ = false;
    bool skipping_ =
        false; ///< the current answer belongs to another request or is interim
    bool is_unusable_ = false;  ///< the answer's status isn't a final one
    bool not_reusable_ = false; ///< an answer to another request was received
    bool is_head_request_ = false;
    bool is_discarded_ = false;
};

} // namespace internal

target_call::~target_call()
{
    if (connection_)
        connection_->abandon();
}

void target_call::set_reading(bool on)
{
    if (connection_)
        connection_->set_reading(on);
}

target_pool::target_pool(net::event_loop& loop, pool_settings settings)
    : loop_(loop), settings_(settings)
{
}

target_pool::~target_pool() = default;

internal::target_connection*
target_pool::idle_connection(connection_list& all,
                             const target_request& request, time_point now)
{
    // The connection that was used last is the least likely to have been closed
    // by the target.
    internal::target_connection* best = nullptr;
    for (const auto& c : all)
        if (c->is_idle() && now < c->idle_until() &&
            !c->has_refused(request.attempt_id) &&
            (best == nullptr || c->idle_since() > best->idle_since()))
            best = c.get();
    if (best && request.needs_fresh_connection &&
        now - best->idle_since() > settings_.fresh_connection_max_idle)
        return nullptr;
    return best;
}

std::unique_ptr<target_call> target_pool::send(const target_request& request,
                                               std::size_t limit,
                                               call_handler& handler)
{
    auto& all = connections_[request.target];
    const time_point now = net::event_loop::now().mono;
    internal::target_connection* c = idle_connection(all, request, now);
    // The target may have closed an idle connection since the event loop last
    // read from it.
    while (c && c->has_unread_input()) {
        ++counts_.stale;
        discard(*c);
        c = idle_connection(all, request, now);
    }
    if (c) {
        ++counts_.reused;
    } else {
        if (all.size() >= limit)
            return nullptr;
        try {
            all.push_back(std::make_unique<internal::target_connection>(
                *this, request.target, request.address));
        } catch (const net::net_error&) {
            return nullptr; // out of file descriptors; the caller counts the
                            // failure
        }
        c = all.back().get();
        ++counts_.opened;
    }
    std::unique_ptr<target_call> call(new target_call);
    call->connection_ = c;
    c->start(request, *call, handler);
    return call;
}

void target_pool::discard(internal::target_connection& c)
{
    if (c.is_discarded_)
        return;
    c.is_discarded_ = true;
    // Destruction is deferred; until then the connection must not connect or
    // send.
    c.stream_.give_up();
    auto& all = connections_[c.target()];
    const auto it = std::ranges::find(
        all, &c, &std::unique_ptr<internal::target_connection>::get);
    // The connection may be on the call stack, so it is destroyed from the
    // event loop.
    const bool first = discarded_.empty();
    if (it != all.end())
        discarded_.splice(discarded_.end(), all, it);
    if (first)
        loop_.call_later(duration::zero(), [this] { discarded_.clear(); });
}

void target_pool::close_idle_connections(const std::string& target)
{
    const auto all = connections_.find(target);
    if (all == connections_.end())
        return;
    std::vector<internal::target_connection*> idle;
    for (const auto& c : all->second)
        if (c->is_idle())
            idle.push_back(c.get());
    for (auto* c : idle)
        discard(*c);
}

void target_pool::close_expired(time_point now)
{
    for (auto& [target, all] : connections_) {
        std::vector<internal::target_connection*> old;
        for (const auto& c : all)
            if (c->is_idle() && now >= c->idle_until())
                old.push_back(c.get());
        for (auto* c : old)
            discard(*c);
    }
    std::erase_if(connections_,
                  [](const auto& entry) { return entry.second.empty(); });
}

std::size_t target_pool::connections() const noexcept
{
    std::size_t n = 0;
    for (const auto& [target, all] : connections_)
        n += all.size();
    return n;
}

} // namespace lovagegate::gateway
