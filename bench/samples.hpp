#ifndef LOVAGEGATE_BENCH_SAMPLES_HPP
#define LOVAGEGATE_BENCH_SAMPLES_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

/// Load generator that measures latency, throughput and memory of the gateway.
namespace lovagegate::bench {

/// @return the value rounded to three decimals, for readable output
[[nodiscard]] double rounded(double value);

/// Collects durations of one kind. All are stored, so quantiles are exact.
class samples
{
public:
    void add(duration d) { values_.push_back(to_ms(d)); }

    [[nodiscard]] std::size_t count() const noexcept { return values_.size(); }

    /// @param q from 0 to 1
    /// @return quantile in milliseconds by nearest rank; 0 without samples
    [[nodiscard]] double quantile(double q) const;

    /// @return {"count", "p50_ms", "p99_ms"}
    [[nodiscard]] nlohmann::json summary() const;

private:
    std::vector<double> values_;
};

} // namespace lovagegate::bench

#endif
