#ifndef LOVAGEGATE_MEASURE_REPORT_HPP
#define LOVAGEGATE_MEASURE_REPORT_HPP

#include "measure/results.hpp"
#include "measure/scenario.hpp"
#include "measure/workload.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::measure {

/// What a line of the report is about.
struct report_head
{
    std::string policy;
    std::uint64_t seed = 0;
};

/// @return one line: the results of the measured time and the clairvoyant
/// bound of the same requests
[[nodiscard]] nlohmann::ordered_json
make_report(const report_head& head, const deployment& d, const scenario& s,
            std::span<const request> requests, const run_results& results,
            const std::vector<bool>& bound);

/// @return share of stalled interactive requests, and of the bound, for each
/// ten seconds of the measured time
[[nodiscard]] std::vector<nlohmann::ordered_json>
make_timeline(const report_head& head, const deployment& d, const scenario& s,
              std::span<const request> requests, const run_results& results,
              const std::vector<bool>& bound);

} // namespace lovagegate::measure

#endif
