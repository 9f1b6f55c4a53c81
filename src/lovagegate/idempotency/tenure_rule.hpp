#ifndef LOVAGEGATE_IDEMPOTENCY_TENURE_RULE_HPP
#define LOVAGEGATE_IDEMPOTENCY_TENURE_RULE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/membership/settings.hpp"

namespace lovagegate::idempotency {

/// The longest time after a list change in which the earlier home of an id may
/// still answer: it learns of the change a lag later, and acts on what it read
/// before for as long as that counts as fresh.
/// @param s the bounds
/// @return how long a new home waits
[[nodiscard]] inline duration
takeover_wait(const membership::membership_settings& s)
{
    return s.list_lag + s.list_fresh + 2 * s.clock_skew;
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
