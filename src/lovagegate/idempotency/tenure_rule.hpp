#ifndef LOVAGEGATE_IDEMPOTENCY_TENURE_RULE_HPP
#define LOVAGEGATE_IDEMPOTENCY_TENURE_RULE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/membership/settings.hpp"

namespace lovagegate::idempotency {

/// How long a new home waits. After a list change, the earlier home may answer
/// until it learns of it, a lag later, and as long as what it read before
/// counts as fresh. Besides, a list that was in effect for less than list_fresh
/// and a lag may have gone by unseen, and its home may have answered likewise.
/// @param s the bounds
/// @return the least age of a tenure at the time when an id is issued
[[nodiscard]] inline duration
takeover_wait(const membership::membership_settings& s)
{
    return 2 * (s.list_lag + s.list_fresh + s.clock_skew);
}

/// @param issued when the caller made the request id
/// @param since when this instance became the home, on its own clock
/// @param now both clocks, read together
/// @param s the bounds
/// @return whether no earlier home can have been asked for the id
[[nodiscard]] inline bool
issued_within_tenure(wall_time issued, time_point since, instant now,
                     const membership::membership_settings& s)
{
    const duration age = now.wall - issued;
    return age + s.clock_skew < now.mono - since - takeover_wait(s);
}

} // namespace lovagegate::idempotency

#endif
