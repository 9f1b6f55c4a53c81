#include "lovagegate/quota/fallback_bucket.hpp"

#include <algorithm>

namespace lovagegate::quota {

bool fallback_bucket::take(std::int64_t tokens, double rate_per_s,
                           std::mt19937_64& random, time_point now)
{
    const auto size = static_cast<double>(tokens);
    if (!active_) {
        // Instances lose the coordinator at the same time. If each began with
        // a free request, all of them together would exceed a small limit many
        // times over.
        active_ = true;
        level_ = -std::uniform_real_distribution<double>(0, 1)(random) * size;
        last_ = now;
    }
    const double held = std::min(rate_per_s, size); // of one second
    level_ = std::min(level_ + rate_per_s * to_seconds(now - last_), held);
    last_ = now;
    if (level_ < 0)
        return false;
    level_ -= size;
    return true;
}

duration fallback_bucket::wait(double rate_per_s) const
{
    constexpr double longest_s = 8;
    if (level_ >= 0)
        return duration::zero();
    return from_seconds(
        rate_per_s > 0 ? std::min(-level_ / rate_per_s, longest_s) : longest_s);
}

} // namespace lovagegate::quota
