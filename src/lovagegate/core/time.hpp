#ifndef LOVAGEGATE_CORE_TIME_HPP
#define LOVAGEGATE_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace lovagegate {

using namespace std::chrono_literals;

/// Duration in microseconds, the time resolution of all decision code.
using duration = std::chrono::microseconds;

/// Clock type of the decision code, which never reads a clock: each step gets
/// the time as an argument, so that the daemon and the tests run the same code.
struct monotonic_clock
{
    using duration = lovagegate::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Monotonic time within one process; not comparable between processes.
using time_point = monotonic_clock::time_point;

/// Wall clock time in milliseconds since the Unix epoch; comparable between
/// processes up to the clock skew bound of the settings.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// Readings of both clocks, taken together at the start of a step.
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

/// @param seconds a number that a duration can hold
/// @return the duration, rounded towards zero
[[nodiscard]] constexpr duration from_seconds(double seconds) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace lovagegate

#endif
