#ifndef LOVAGEGATE_GATEWAY_REPORT_AGE_HPP
#define LOVAGEGATE_GATEWAY_REPORT_AGE_HPP

#include "lovagegate/core/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace lovagegate::gateway {

/// Estimates how old the state in an engine's reports is. Without it, a load
/// that has ended would seem to go on for as long as reports lag.
class report_age
{
public:
    /// Called when a report is the first to show a load in progress.
    /// @param time since the engine accepted the order; exceeds the age by up
    ///        to the interval between reports
    void add(duration time) noexcept
    {
        samples_.at(next_) = std::clamp(time, duration::zero(), max_age);
        next_ = (next_ + 1) % samples_.size();
        count_ = std::min(count_ + 1, samples_.size());
    }

    /// @return the smallest of the last samples, which the interval between
    ///         reports has falsified least; nothing before there are some
    [[nodiscard]] std::optional<duration> value() const noexcept
    {
        if (count_ < samples_.size())
            return std::nullopt;
        return *std::ranges::min_element(samples_);
    }

private:
    static constexpr duration max_age = 400ms;
    static constexpr std::size_t sample_count = 4;

    std::array<duration, sample_count> samples_{};
    std::size_t next_ = 0;
    std::size_t count_ = 0;
};

} // namespace lovagegate::gateway

#endif
