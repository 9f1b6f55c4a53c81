#ifndef LOVAGEGATE_CORE_TIME_HPP
#define LOVAGEGATE_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace lovagegate {

using namespace std::chrono_literals;

/// Resolution of all decisions.
using duration = std::chrono::microseconds;

/// Clock of the decision code. It is never read there: each step is handed
/// the time, so that the daemon and the tests use the same code.
struct monotonic_clock
{
    using duration = lovagegate::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Monotonic time of one process; not comparable between processes.
using time_point = monotonic_clock::time_point;

/// Wall clock time in milliseconds since the Unix epoch; comparable between
/// processes up to the clock skew bound of the settings.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// The two clocks, read together at the start of a step.
struct instant
{
    time_point mono{};
    wall_time wall{};
};

/// @param d a duration
/// @return d in milliseconds, with fractions
[[nodiscard]] constexpr double to_ms(duration d) noexcept
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// @param d a duration
/// @return d in seconds, with fractions
[[nodiscard]] constexpr double to_seconds(duration d) noexcept
{
    return std::chrono::duration<double>(d).count();
}

} // namespace lovagegate

#endif
