#ifndef LOVAGEGATE_POOL_LOAD_RATE_HPP
#define LOVAGEGATE_POOL_LOAD_RATE_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::pool {

/// Measures the loads per second that the pool gets: an exponential average
/// over the time in which loads were waiting for permits.
class load_rate
{
public:
    /// @param initial loads per second until a rate has been measured
    explicit load_rate(double initial) noexcept
        : initial_(initial), rate_(initial)
    {
    }

    /// @param wanted whether loads wait for permits from now on
    void set_wanted(bool wanted, time_point now);
    /// @param count number of permits received
    void on_permits(std::size_t count, time_point now);

    /// @return loads per second
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
