#ifndef LOVAGEGATE_NET_INTERNAL_TIMER_QUEUE_HPP
#define LOVAGEGATE_NET_INTERNAL_TIMER_QUEUE_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <functional>
#include <libwebsockets.h>
#include <map>
#include <unordered_map>
#include <utility>

namespace lovagegate::net::internal {

/// The timers of one loop, on one timerfd. The timers of libwebsockets round
/// the wait down to whole milliseconds and then busy-poll until they are due,
/// which costs 2% of a core at 20 timers per second.
class timer_queue
{
public:
    using task = std::function<void()>;

    /// @param context must outlive the queue
    /// @throws context_error if the timerfd cannot be created or registered
    explicit timer_queue(lws_context* context);
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// @return id to pass to cancel(), never reused
    std::uint64_t add(duration delay, task fn);

    /// Cancels a timer; does nothing if it has run.
    void cancel(std::uint64_t id) noexcept;

    /// Cancels all timers, including those added by destructors of cancelled
    /// ones.
    void clear() noexcept;

    /// Runs the timers that are due.
    void on_readable();

private:
    using timer_key = std::pair<time_point, std::uint64_t>;

    void arm() noexcept;

    int descriptor_; ///< closed by libwebsockets, which adopts it
    std::uint64_t last_id_ = 0;
    std::map<timer_key, task> timers_;
    std::unordered_map<std::uint64_t, time_point> due_by_id_;
};

} // namespace lovagegate::net::internal

#endif
