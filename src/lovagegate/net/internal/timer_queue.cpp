#include "lovagegate/net/internal/timer_queue.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/event_loop.hpp"

#include <algorithm>
#include <array>
#include <sys/timerfd.h>
#include <unistd.h>

namespace lovagegate::net::internal {
namespace {

constexpr const char* protocol_name = "timers";
constexpr duration::rep us_per_s = 1'000'000;
constexpr long ns_per_us = 1000;

int on_event(::lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    if (reason == LWS_CALLBACK_RAW_RX_FILE)
        static_cast<timer_queue*>(lws_vhost_user(lws_get_vhost(wsi)))
            ->on_readable();
    return 0;
}

// libwebsockets requires a terminating entry and retains the pointer.
const std::array<lws_protocols, 2> protocols{
    {{protocol_name, on_event, 0, 0, 0, nullptr, 0},
     {nullptr, nullptr, 0, 0, 0, nullptr, 0}}};

} // namespace

timer_queue::timer_queue(lws_context* context)
    : descriptor_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    if (descriptor_ < 0)
        throw context_error("timerfd could not be created");
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = protocol_name;
    info.protocols = protocols.data();
    info.user = this;
    lws_vhost* const vhost = lws_create_vhost(context, &info);
    lws_sock_file_fd_type file{};
    file.filefd = descriptor_;
    if (vhost == nullptr ||
        lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, file,
                                   protocol_name, nullptr) == nullptr) {
        ::close(descriptor_);
        throw context_error("libwebsockets did not adopt the timerfd");
    }
}

std::uint64_t timer_queue::add(duration delay, task fn)
{
    const std::uint64_t id = ++last_id_;
    const time_point due =
        event_loop::now().mono + std::max(delay, duration::zero());
    due_by_id_.emplace(id, due);
    const auto it = timers_.emplace(timer_key{due, id}, std::move(fn)).first;
    if (it == timers_.begin())
        arm();
    return id;
}

void timer_queue::cancel(std::uint64_t id) noexcept
{
    const auto it = due_by_id_.find(id);
    if (it == due_by_id_.end())
        return;
    timers_.erase({it->second, id});
    due_by_id_.erase(it);
}

void timer_queue::clear() noexcept
{
    while (!timers_.empty()) {
        const auto node = timers_.extract(timers_.begin());
        due_by_id_.erase(node.key().second);
    }
}

void timer_queue::on_readable()
{
    std::uint64_t expirations = 0;
    // If there is nothing to read, an earlier call has handled the expiration.
    [[maybe_unused]] const auto n =
        ::read(descriptor_, &expirations, sizeof expirations);
    const time_point now = event_loop::now().mono;
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        const auto node = timers_.extract(timers_.begin());
        due_by_id_.erase(node.key().second);
        node.mapped()();
    }
    arm();
}

void timer_queue::arm() noexcept
{
    itimerspec timer_spec{};
    if (!timers_.empty()) {
        // Absolute time; zero would disarm the timer.
        const auto us = std::max<duration::rep>(
            timers_.begin()->first.first.time_since_epoch().count(), 1);
        timer_spec.it_value.tv_sec = us / us_per_s;
        timer_spec.it_value.tv_nsec = us % us_per_s * ns_per_us;
    }
    ::timerfd_settime(descriptor_, TFD_TIMER_ABSTIME, &timer_spec, nullptr);
}

} // namespace lovagegate::net::internal
