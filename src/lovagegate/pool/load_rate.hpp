#ifndef LOVAGEGATE_POOL_LOAD_RATE_HPP
#define LOVAGEGATE_POOL_LOAD_RATE_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::pool {

/// Loads a second that the pool gets while it wants some: an exponential
/// average over the time in which wants were waiting.
class load_rate
{
public:
    /// @param initial loads a second until something was measured
    explicit load_rate(double initial) noexcept
        : initial_(initial), rate_(initial)
    {
    }

    /// @param wanted some loads wait for permits from now on
    void set_wanted(bool wanted, time_point now);
    /// @param count permits that came
    void on_permits(std::size_t count, time_point now);

    /// @return loads a second
    [[nodiscard]] double per_second() const noexcept { return rate_; }

private:
    void advance(time_point now);

    double initial_;
    double rate_;
    bool wanted_ = false;
    time_point last_{};
    duration waited_{};
    std::size_t permits_ = 0;
};

} // namespace lovagegate::pool

#endif
