#include "lovagegate/capacity/attempt_age.hpp"

#include <algorithm>

namespace lovagegate::capacity {

namespace {

/// A longer time left is forgotten after one to two periods.
constexpr duration period = 30s;
/// Number of routes; more can only stem from successive configurations.
constexpr std::size_t max_kinds = 4096;

} // namespace

duration attempt_age::observe(std::uint64_t kind, duration time_left,
                              time_point now)
{
    if (kinds_.size() >= max_kinds && !kinds_.contains(kind))
        kinds_.clear();
    longest& l = kinds_[kind];
    if (l.since == time_point{} || now - l.since > 2 * period)
        l = {{}, {}, now};
    else if (now - l.since > period)
        l = {{}, l.current, now};
    l.current = std::max(l.current, time_left);
    return std::max(l.current, l.previous) - time_left;
}

} // namespace lovagegate::capacity
