#include "lovagegate/quota/request_thinning.hpp"

#include <algorithm>
#include <bit>

namespace lovagegate::quota {

request_thinning::request_thinning(std::mt19937_64& random)
{
    std::uniform_real_distribution<double> phase(0, 1);
    for (double& sum : sums_)
        sum = phase(random);
}

bool request_thinning::admit(double fraction, std::int64_t tokens)
{
    const auto size =
        static_cast<std::uint64_t>(std::max<std::int64_t>(tokens, 0));
    const auto index = std::min<std::size_t>(
        static_cast<std::size_t>(std::bit_width(size)), size_classes - 1);
    double& sum = sums_.at(index);
    sum += std::clamp(fraction, 0.0, 1.0);
    if (sum < 1)
        return false;
    sum -= 1;
    return true;
}

} // namespace lovagegate::quota
