#ifndef LOVAGEGATE_LOGGING_LINE_RATE_LIMITER_HPP
#define LOVAGEGATE_LOGGING_LINE_RATE_LIMITER_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::logging {

/// Bounds the lines of a process: a token bucket, so that a burst of decisions
/// is written whole and a flood is not.
class line_rate_limiter
{
public:
    /// @param per_second lines in the long run
    /// @param burst lines at once
    line_rate_limiter(double per_second, double burst) noexcept;

    /// @return whether a line may be written now; else it is counted
    bool try_acquire(time_point now) noexcept;

    /// Counts a line that the reader of the log did not take.
    void on_dropped() noexcept { ++dropped_; }

    /// @return lines left out since the last call, at most once a second
    std::optional<std::uint64_t> take_dropped_count(time_point now) noexcept;

    /// @return lines left out so far
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
