#include "lovagegate/capacity/concurrency_limit.hpp"

#include <algorithm>

namespace lovagegate::capacity {

namespace {

/// Share of the slots that may queue at the target, in addition to the permits
/// that are in transit; at most so many are assumed to be.
constexpr double queue_share = 0.17;
constexpr double min_queue = 1;
constexpr double max_transit_share = 1;
constexpr double initial_transit_share = 0.17;
/// The low run time rises by this share with each answer above it, so that one
/// answer in some ten is below it.
constexpr double low_run_growth = 0.01;
constexpr double transit_weight = 0.02;
/// Answers within this multiple of the unqueued run time are quick.
constexpr double quick_factor = 1.5;
/// Answers above this multiple show that others use the target, too.
constexpr double slow_factor = 2;
constexpr double rejection_factor = 0.8;
constexpr double failure_factor = 0.5;
/// A target that fails a few of its requests still does the others; one that
/// fails so many in a row does none.
constexpr std::uint32_t max_failures_in_a_row = 3;
/// All rejections of one burst lower the limit once.
constexpr duration min_reduction_interval = 50ms;
constexpr duration rejection_backoff = 100ms;
constexpr duration initial_failure_backoff = 300ms;
constexpr duration max_failure_backoff = 3s;
constexpr double run_time_weight = 0.1;
constexpr double min_run_seconds = 0.001;

void add_to_average(std::optional<duration>& average, duration value)
{
    if (average)
        *average += std::chrono::duration_cast<duration>(run_time_weight *
                                                         (value - *average));
    else
        average = value;
}

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : slots_(std::max(1U, slots))
{
    limit_ = highest();
}

double concurrency_limit::highest() const noexcept
{
    double in_transit = initial_transit_share;
    if (low_run_time_ && unqueued_run_time_) {
        const duration run = std::min(*low_run_time_, *unqueued_run_time_);
        in_transit = std::min(max_transit_share,
                              to_seconds(mean_transit_) /
                                  std::max(to_seconds(run), min_run_seconds));
    }
    return slots_ * (1 + in_transit) +
           std::max(min_queue, queue_share * slots_);
}

void concurrency_limit::observe_transit(duration run_time, duration held)
{
    const bool is_first = !low_run_time_;
    if (is_first || run_time < *low_run_time_)
        low_run_time_ = run_time;
    else
        *low_run_time_ += std::chrono::duration_cast<duration>(low_run_growth *
                                                               *low_run_time_);
    const duration transit =
        std::max<duration>(held - *low_run_time_, duration::zero());
    mean_transit_ =
        is_first
            ? transit
            : mean_transit_ + std::chrono::duration_cast<duration>(
                                  transit_weight * (transit - mean_transit_));
}

void concurrency_limit::set_slots(std::uint32_t slots)
{
    slots = std::max(1U, slots);
    if (slots == slots_)
        return;
    slots_ = slots;
    limit_ = highest();
}

std::uint32_t concurrency_limit::value() const noexcept
{
    return std::max(1U, static_cast<std::uint32_t>(limit_));
}

void concurrency_limit::on_answer(duration run_time, duration held,
                                  std::uint32_t in_use)
{
    observe_transit(run_time, held);
    add_to_average(mean_run_time_, run_time);
    if (in_use <= slots_)
        add_to_average(unqueued_run_time_, run_time);
    failure_backoff_ = {};
    failures_in_a_row_ = 0;
    const bool is_below_slots = limit_ < slots_;
    if (is_below_slots || !unqueued_run_time_ ||
        run_time <= quick_factor * *unqueued_run_time_) {
        limit_ = std::min(highest(), limit_ + 1 / limit_);
    } else if (run_time > slow_factor * *unqueued_run_time_) {
        // The slots can be used without a queue; fewer would leave them idle
        // if the target itself became slower.
        limit_ = std::max<double>(slots_, limit_ - 1 / limit_);
    }
    limit_ = std::min(limit_, highest());
}

void concurrency_limit::reduce(double factor, time_point now)
{
    if (reduced_at_ != time_point{} &&
        now - reduced_at_ < min_reduction_interval)
        return;
    reduced_at_ = now;
    limit_ = std::max(1.0, limit_ * factor);
}

void concurrency_limit::on_rejection(time_point now)
{
    reduce(rejection_factor, now);
    avoided_until_ = std::max(avoided_until_, now + rejection_backoff);
}

void concurrency_limit::on_failure(time_point now)
{
    if (++failures_in_a_row_ >= max_failures_in_a_row)
        on_stopped(now);
}

void concurrency_limit::on_stopped(time_point now)
{
    failures_in_a_row_ = 0;
    reduce(failure_factor, now);
    failure_backoff_ = std::clamp<duration>(
        2 * failure_backoff_, initial_failure_backoff, max_failure_backoff);
    avoided_until_ = std::max(avoided_until_, now + failure_backoff_);
}

} // namespace lovagegate::capacity
