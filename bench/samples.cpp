#include "bench/samples.hpp"

#include <algorithm>
#include <cmath>

namespace lovagegate::bench {

double samples::quantile(double q) const
{
    if (values_.empty()) {
        return 0;
    }
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = std::ceil(q * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

double rounded(double value)
{
    constexpr double thousandths = 1000;
    return std::round(value * thousandths) / thousandths;
}

nlohmann::json samples::summary() const
{
    return {{"count", count()},
            {"p50_ms", rounded(quantile(0.5))},
            {"p99_ms", rounded(quantile(0.99))}};
}

} // namespace lovagegate::bench
