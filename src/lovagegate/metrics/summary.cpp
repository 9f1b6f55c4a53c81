#include "lovagegate/metrics/summary.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagegate::metrics {

namespace acc = boost::accumulators;

namespace {

/// Quantiles of up to this many values are exact; Boost's estimator needs
/// 2 n + 3 values for n markers before its estimates are valid.
constexpr std::size_t max_exact_values = 64;

/// Markers of the estimator: the reported quantiles, and neighbours that
/// improve their estimates.
constexpr std::array<double, 7> markers = {0.25, 0.5,  0.75, 0.9,
                                           0.95, 0.99, 0.999};

} // namespace

summary::estimator::estimator()
    : set(acc::extended_p_square_probabilities = markers)
{
}

void summary::estimator::observe(double value)
{
    set(value);
    ++observed;
    if (observed <= max_exact_values) {
        first_values.push_back(value);
    }
}

double summary::estimator::quantile(double q) const
{
    if (observed == 0) {
        return 0;
    }
    if (observed > max_exact_values) {
        const auto* at = std::find(markers.begin(), markers.end(), q);
        return acc::extended_p_square(set)[at - markers.begin()];
    }
    std::vector<double> sorted = first_values;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = std::ceil(q * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

summary::summary() = default;

void summary::observe(double value, time_point now)
{
    rotate(now);
    total_(value);
    reporting_.observe(value);
    next_.observe(value);
}

void summary::rotate(time_point now)
{
    if (last_rotation_ == time_point{}) {
        last_rotation_ = now;
    }
    if (now - last_rotation_ < window) {
        return;
    }
    const bool both_expired = now - last_rotation_ >= 2 * window;
    reporting_ = both_expired ? estimator() : std::move(next_);
    next_ = estimator();
    last_rotation_ = now;
}

std::uint64_t summary::count() const
{
    return acc::count(total_);
}

double summary::sum() const
{
    return acc::sum(total_);
}

double summary::mean() const
{
    return count() == 0 ? 0 : sum() / static_cast<double>(count());
}

double summary::quantile(double q) const
{
    return reporting_.quantile(q);
}

} // namespace lovagegate::metrics
