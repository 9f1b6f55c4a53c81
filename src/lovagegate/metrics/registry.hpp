#ifndef LOVAGEGATE_METRICS_REGISTRY_HPP
#define LOVAGEGATE_METRICS_REGISTRY_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/metrics/summary.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lovagegate::metrics {

/// Durations that are measured for requests of each priority.
enum class timing : std::uint8_t
{
    latency,     ///< from the received request to the end of the answer
    first_token, ///< from the received request to the first token of the answer
    token_gap,   ///< between two tokens of one answer
    load_stall,  ///< waiting for the adapter to be loaded
};

inline constexpr std::size_t timing_count = 4;

/// A current value, read when the metrics page is written.
struct gauge
{
    /// Prometheus name without the prefix, with labels in braces if any.
    std::string name;
    double value = 0;
};

/// Collects the summaries of one instance and writes the metrics page.
class registry
{
public:
    /// @param what duration that was measured
    /// @param p priority of the request
    /// @param elapsed measured duration
    /// @param now time of the observation
    void observe(timing what, priority p, duration elapsed, time_point now);

    /// @param ratio running requests of an engine divided by its batch limit
    /// @param now time of the observation
    void observe_batch_fill(double ratio, time_point now);

    [[nodiscard]] const summary& timings(timing what, priority p) const;
    [[nodiscard]] const summary& batch_fill() const { return batch_fill_; }

    /// @param counts counters; each name gets the prefix and _total
    /// @param gauges current values
    /// @return a page in Prometheus text format 0.0.4
    [[nodiscard]] std::string page(const counters& counts,
                                   std::span<const gauge> gauges) const;

private:
    std::array<std::array<summary, priority_count>, timing_count> timings_;
    summary batch_fill_;
};

} // namespace lovagegate::metrics

#endif
