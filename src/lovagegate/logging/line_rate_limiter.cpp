#include "lovagegate/logging/line_rate_limiter.hpp"

#include <algorithm>

namespace lovagegate::logging {

line_rate_limiter::line_rate_limiter(double lines_per_second,
                                     double burst_lines) noexcept
    : lines_per_second_(lines_per_second), burst_lines_(burst_lines),
      tokens_(burst_lines)
{
}

bool line_rate_limiter::try_acquire(time_point now) noexcept
{
    if (now > last_refill_)
        tokens_ = std::min(burst_lines_,
                           tokens_ + lines_per_second_ *
                                         to_seconds(now - last_refill_));
    last_refill_ = std::max(last_refill_, now);
    if (tokens_ < 1) {
        on_dropped();
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::optional<std::uint64_t>
line_rate_limiter::take_dropped_count(time_point now) noexcept
{
    constexpr duration interval = 1s;
    if (dropped_ == reported_dropped_ || now - last_report_ < interval)
        return std::nullopt;
    const std::uint64_t count = dropped_ - reported_dropped_;
    reported_dropped_ = dropped_;
    last_report_ = now;
    return count;
}

} // namespace lovagegate::logging
