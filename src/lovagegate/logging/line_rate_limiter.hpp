#ifndef LOVAGEGATE_LOGGING_LINE_RATE_LIMITER_HPP
#define LOVAGEGATE_LOGGING_LINE_RATE_LIMITER_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::logging {

/// Limits the log lines of a process by a token bucket: a burst of decisions
/// is logged completely, a sustained flood is not.
class line_rate_limiter
{
public:
    /// @param per_second sustained rate in lines per second
    /// @param burst most lines written at once
    line_rate_limiter(double per_second, double burst) noexcept;

    /// @return whether a line may be written now; counts it as dropped if not
    bool try_acquire(time_point now) noexcept;

    /// Counts a line that could not be written without blocking.
    void on_dropped() noexcept { ++dropped_; }

    /// @return lines dropped since the last returned count; returned at most
    /// once
    ///         a second
    std::optional<std::uint64_t> take_dropped_count(time_point now) noexcept;

    /// @return lines dropped since the start
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    double per_second_;
    double burst_;
    double tokens_;
    time_point last_{};
    time_point last_report_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace lovagegate::logging

#endif
