#ifndef LOVAGEGATE_IDEMPOTENCY_TENURE_RULE_HPP
#define LOVAGEGATE_IDEMPOTENCY_TENURE_RULE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/membership/settings.hpp"

namespace lovagegate::idempotency {

/// Returns how long a new home waits before it decides on its own. After a list
/// change, the previous home may still answer until it reads the new list, up
/// to list_lag later, and as long as its previous list counts as fresh. In
/// addition, a list that was in effect for less than list_fresh plus list_lag
/// may have been missed here, and its home may have answered for as long again;
/// hence the factor 2.
/// @param s membership limits
/// @return the minimum age of a tenure at the time when an id is issued
[[nodiscard]] inline duration
takeover_wait(const membership::membership_settings& s)
{
    return 2 * (s.list_lag + s.list_fresh + s.clock_skew);
}

/// @param issued when the caller created the request id
/// @param since when this instance became the home, on its monotonic clock
/// @param now both clocks, read together
/// @param s membership limits
/// @return whether no previous home can have accepted a claim for the id
[[nodiscard]] inline bool
issued_within_tenure(wall_time issued, time_point since, instant now,
                     const membership::membership_settings& s)
{
    const duration age = now.wall - issued;
    return age + s.clock_skew < now.mono - since - takeover_wait(s);
}

} // namespace lovagegate::idempotency

#endif
