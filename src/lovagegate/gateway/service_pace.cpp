#include "lovagegate/gateway/service_pace.hpp"

#include <cmath>

namespace lovagegate::gateway {

namespace {

/// Weight of one request in the averages.
constexpr double request_weight = 0.1;
/// Time in which an earlier number of open requests loses two thirds of its
/// weight.
constexpr duration open_decay_time = 2s;

void add_to_average(std::optional<duration>& average, duration value)
{
    if (average)
        *average += std::chrono::duration_cast<duration>(request_weight *
                                                         (value - *average));
    else
        average = value;
}

} // namespace

void service_pace::on_sent(time_point now)
{
    set_open(open_ + 1, now);
}

void service_pace::on_left(time_point now)
{
    if (open_ > 0)
        set_open(open_ - 1, now);
}

void service_pace::on_answer(duration run_time)
{
    add_to_average(mean_run_time_, run_time);
}

void service_pace::on_first_event(duration time)
{
    add_to_average(mean_first_event_time_, time);
}

double service_pace::mean_open(time_point now) const
{
    const double kept =
        std::exp(-to_seconds(now - changed_at_) / to_seconds(open_decay_time));
    return open_ + kept * (mean_open_ - open_);
}

void service_pace::set_open(std::uint32_t open, time_point now)
{
    mean_open_ = mean_open(now);
    changed_at_ = now;
    open_ = open;
}

} // namespace lovagegate::gateway
