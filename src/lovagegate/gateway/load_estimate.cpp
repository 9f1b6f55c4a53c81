#include "lovagegate/gateway/load_estimate.hpp"

#include <algorithm>

namespace lovagegate::gateway {

namespace {

/// Share of the difference by which one observation moves the estimate.
constexpr double raise_weight = 0.5;
constexpr double lower_weight = 0.15;
constexpr duration min_load_time = 20ms;
/// Longest time of loads that slow each other down.
constexpr duration max_load_time = 1500ms;

duration step_towards(duration from, duration to, double part)
{
    const auto step = std::chrono::duration_cast<duration>((to - from) * part);
    return std::clamp(from + step, min_load_time, max_load_time);
}

} // namespace

void load_estimate::on_still_loading(bool was_cached, duration time) noexcept
{
    duration& e = was_cached ? from_cache_ : from_store_;
    if (time > e)
        e = step_towards(e, time, raise_weight);
}

void load_estimate::on_load_finished(bool was_cached, duration time) noexcept
{
    duration& e = was_cached ? from_cache_ : from_store_;
    if (time < e)
        e = step_towards(e, time, lower_weight);
}

} // namespace lovagegate::gateway
