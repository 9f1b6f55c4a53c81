#ifndef LOVAGEGATE_MEASURE_EVENT_QUEUE_HPP
#define LOVAGEGATE_MEASURE_EVENT_QUEUE_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace lovagegate::measure {

/// A virtual clock: events in the order of their times, then of insertion.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] time_point now() const noexcept { return now_; }

    void at(time_point t, action a)
    {
        events_.push({t, next_++, std::move(a)});
    }
    void after(duration d, action a) { at(now_ + d, std::move(a)); }

    /// Runs all events before the end.
    void run(time_point end)
    {
        while (!events_.empty() && events_.top().when < end) {
            // The queue only gives const access to what is about to go.
            event e = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = e.when;
            e.what();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number;
        action what;

        bool operator<(const event& other) const
        {
            return std::pair(when, number) >
                   std::pair(other.when, other.number);
        }
    };

    time_point now_{};
    std::uint64_t next_ = 0;
    std::priority_queue<event> events_;
};

} // namespace lovagegate::measure

#endif
