#include "lovagegate/logging/line_rate_limiter.hpp"

#include <algorithm>

namespace lovagegate::logging {

line_rate_limiter::line_rate_limiter(double per_second, double burst) noexcept
    : per_second_(per_second), burst_(burst), tokens_(burst)
{
}

bool line_rate_limiter::try_acquire(time_point now) noexcept
{
    if (now > last_)
        tokens_ =
            std::min(burst_, tokens_ + per_second_ * to_seconds(now - last_));
    last_ = std::max(last_, now);
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
    if (dropped_ == reported_ || now - last_report_ < interval)
        return std::nullopt;
    const std::uint64_t count = dropped_ - reported_;
    reported_ = dropped_;
    last_report_ = now;
    return count;
}

} // namespace lovagegate::logging
