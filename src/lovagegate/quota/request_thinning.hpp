#ifndef LOVAGEGATE_QUOTA_REQUEST_THINNING_HPP
#define LOVAGEGATE_QUOTA_REQUEST_THINNING_HPP

#include <array>
#include <cstdint>
#include <random>

namespace lovagegate::quota {

/// Admits a fraction of requests by running sums. Requests of similar size,
/// within a factor of two, share a sum, so that large requests are admitted as
/// often as small ones. The sums start at random, so that instances that get
/// few requests each don't all refuse, or all admit, their first one.
class request_thinning
{
public:
    explicit request_thinning(std::mt19937_64& random);

    /// @param fraction share of requests to admit, from 0 to 1
    [[nodiscard]] bool admit(double fraction, std::int64_t tokens);

private:
    static constexpr std::size_t size_classes = 32;
    std::array<double, size_classes> sums_{};
};

} // namespace lovagegate::quota

#endif
