#ifndef LOVAGEGATE_METRICS_SUMMARY_HPP
#define LOVAGEGATE_METRICS_SUMMARY_HPP

#include "lovagegate/core/time.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Measurements of an instance and their page in Prometheus format.
namespace lovagegate::metrics {

/// Keeps count and sum since the start, and quantiles over the last one to two
/// minutes. Two estimators run in parallel, each replaced every two minutes,
/// so that quantiles follow changes and memory use is constant.
class summary
{
public:
    /// Quantiles that are reported.
    static constexpr std::array<double, 3> quantiles = {0.5, 0.95, 0.99};
    /// Half the lifetime of an estimator.
    static constexpr duration window = 60s;

    summary();

    /// @param value in the unit of the metric
    /// @param now time of the observation
    void observe(double value, time_point now);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    /// @return the mean since the start, 0 without observations
    [[nodiscard]] double mean() const;

    /// @param q one of quantiles
    /// @return the estimate, 0 without observations
    [[nodiscard]] double quantile(double q) const;

private:
    using total_set = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::sum>>;
    using quantile_set = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::extended_p_square>>;

    /// An estimator, and the first values for exact quantiles.
    struct estimator
    {
        estimator();
        void observe(double value);
        [[nodiscard]] double quantile(double q) const;

        quantile_set set;
        std::vector<double> first_values;
        std::size_t observed = 0;
    };

    void rotate(time_point now);

    total_set total_;
    estimator reporting_;
    estimator next_;
    time_point last_rotation_{};
};

} // namespace lovagegate::metrics

#endif
