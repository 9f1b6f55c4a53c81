#ifndef LOVAGEGATE_CRASHES_CRASH_TIMES_HPP
#define LOVAGEGATE_CRASHES_CRASH_TIMES_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::crashes {

/// A connection that broke counts as one of a crash if the engine's run ends
/// within this time: a crashed engine refuses connections, is listed with a new
/// start time or expires from the store within seconds.
inline constexpr duration run_end_window = 15s;
/// Suspicion ends if no further connection breaks for this long. Callers repeat
/// a request within minutes.
inline constexpr duration suspicion_ttl = 120s;

} // namespace lovagegate::crashes

#endif
