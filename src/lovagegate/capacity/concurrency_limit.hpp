#ifndef LOVAGEGATE_CAPACITY_CONCURRENCY_LIMIT_HPP
#define LOVAGEGATE_CAPACITY_CONCURRENCY_LIMIT_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::capacity {

/// Number of requests that one target gets at once, found from its answers. It
/// is the target's slots and a small queue, so that the target has work while
/// answers, releases and grants are on their way. Rejections and failures lower
/// it, quick answers raise it again.
class concurrency_limit
{
public:
    explicit concurrency_limit(std::uint32_t slots);

    void set_slots(std::uint32_t slots);

    /// @param run_time time from sending a request to the end of its answer
    /// @param held time from granting the permit to its return
    /// @param in_use permits in use when the request got its own, with it
    void on_answer(duration run_time, duration held, std::uint32_t in_use);
    void on_rejection(time_point now);
    /// Called when the target failed a request.
    void on_failure(time_point now);
    /// Called when the target seems to do nothing any more.
    void on_stopped(time_point now);

    /// @return permits that may be in use, at least one
    [[nodiscard]] std::uint32_t value() const noexcept;
    [[nodiscard]] std::uint32_t slots() const noexcept { return slots_; }

    /// @return whether the target has just rejected a request or failed, so
    ///         that other targets are preferred
    [[nodiscard]] bool is_avoided(time_point now) const noexcept
    {
        return now < avoided_until_;
    }

    /// @return how long a request runs on average; nothing before an answer
    [[nodiscard]] std::optional<duration> mean_run_time() const noexcept
    {
        return mean_run_time_;
    }

    /// @return the same for requests that had a slot at once
    [[nodiscard]] std::optional<duration> unqueued_run_time() const noexcept
    {
        return unqueued_run_time_;
    }

private:
    [[nodiscard]] double highest() const noexcept;
    void observe_transit(duration run_time, duration held);
    void reduce(double factor, time_point now);

    std::uint32_t slots_;
    double limit_ = 1;
    std::optional<duration> mean_run_time_;
    std::optional<duration> unqueued_run_time_;
    /// Run time of the requests whose instances were quick; contains the queue
    /// at the target.
    std::optional<duration> low_run_time_;
    duration mean_transit_{}; ///< time in which a permit serves nobody
    duration failure_backoff_{};
    std::uint32_t failures_in_a_row_ = 0;
    time_point reduced_at_{};
    time_point avoided_until_{};
};

} // namespace lovagegate::capacity

#endif
