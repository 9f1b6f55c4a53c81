#ifndef LOVAGEGATE_QUOTA_FALLBACK_BUCKET_HPP
#define LOVAGEGATE_QUOTA_FALLBACK_BUCKET_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <random>

namespace lovagegate::quota {

/// Limits a workspace on an instance that gets no answers of the coordinator,
/// to its equal part of the rate. A part smaller than a request is saved up:
/// a request is admitted when the earlier ones are paid for.
class fallback_bucket
{
public:
    /// @param rate_per_s equal part of the workspace's rate
    /// @return whether the request is admitted
    [[nodiscard]] bool take(std::int64_t tokens, double rate_per_s,
                            std::mt19937_64& random, time_point now);

    /// Called when the coordinator answers again.
    void reset() noexcept { active_ = false; }

    /// @return time until the next request is admitted
    [[nodiscard]] duration wait(double rate_per_s) const;

private:
    bool active_ = false;
    double level_ = 0;
    time_point last_{};
};

} // namespace lovagegate::quota

#endif
