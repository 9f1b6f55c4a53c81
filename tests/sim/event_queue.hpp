#ifndef LOVAGEGATE_TESTS_SIM_EVENT_QUEUE_HPP
#define LOVAGEGATE_TESTS_SIM_EVENT_QUEUE_HPP

#include "lovagegate/core/time.hpp"

#include <functional>
#include <map>
#include <utility>

namespace lovagegate::sim {

/// Virtual time: what is due is run in order, equals in order of arrival.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] duration now() const noexcept { return now_; }

    void after(duration wait, action what)
    {
        due_.emplace(now_ + wait, std::move(what));
    }

    /// Runs everything that is due within the next `span`.
    void run_for(duration span)
    {
        const duration end = now_ + span;
        while (!due_.empty() && due_.begin()->first <= end) {
            auto next = due_.extract(due_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

private:
    duration now_{1s};
    std::multimap<duration, action> due_;
};

} // namespace lovagegate::sim

#endif
