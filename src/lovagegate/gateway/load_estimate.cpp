#include "lovagegate/gateway/load_estimate.hpp"

#include <algorithm>

namespace lovagegate::gateway {

namespace {

/// Part of the difference that one observation moves the estimate by.
constexpr double raise_part = 0.5;
constexpr double lower_part = 0.15;
constexpr duration least = 20ms;
/// Loads that slow each other down take this long at worst.
constexpr duration most = 1500ms;

duration moved(duration from, duration to, double part)
{
    const auto step = std::chrono::duration_cast<duration>((to - from) * part);
    return std::clamp(from + step, least, most);
}

} // namespace

void load_estimate::on_longer_than(bool was_held, duration time) noexcept
{
    duration& e = was_held ? copy_ : store_;
    if (time > e)
        e = moved(e, time, raise_part);
}

void load_estimate::on_within(bool was_held, duration time) noexcept
{
    duration& e = was_held ? copy_ : store_;
    if (time < e)
        e = moved(e, time, lower_part);
}

} // namespace lovagegate::gateway
