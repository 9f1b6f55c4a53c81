#ifndef LOVAGEGATE_BENCH_SAMPLES_HPP
#define LOVAGEGATE_BENCH_SAMPLES_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

/// Load tool that measures what the gateway adds.
namespace lovagegate::bench {

/// @return the value to three decimals, for people
[[nodiscard]] double rounded(double value);

/// Durations of one kind; quantiles are exact.
class samples
{
public:
    void add(duration d) { values_.push_back(to_ms(d)); }

    [[nodiscard]] std::size_t count() const noexcept { return values_.size(); }

    /// @param q from 0 to 1
    /// @return milliseconds, by the nearest rank; 0 without samples
    [[nodiscard]] double quantile(double q) const;

    /// @return {"count", "p50_ms", "p99_ms"}
    [[nodiscard]] nlohmann::json summary() const;

private:
    std::vector<double> values_;
};

} // namespace lovagegate::bench

#endif
