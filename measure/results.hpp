#ifndef LOVAGEGATE_MEASURE_RESULTS_HPP
#define LOVAGEGATE_MEASURE_RESULTS_HPP

#include "measure/workload.hpp"

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagegate::measure {

/// How one request ended under a policy.
struct request_result
{
    request_outcome outcome = request_outcome::unknown;
    refusal reason = refusal::none;
    bool ended = false;
    bool stalled = false; ///< its adapter was not there when it came
    duration stall{};     ///< until the adapter was there
    duration first_token{};
    std::uint32_t runs = 0;
    bool wrong_adapter = false;
};

/// The results of all requests of a sequence, by their index.
struct run_results
{
    std::vector<request_result> requests;
    std::uint64_t loads = 0;
    std::size_t most_loads_in_10s = 0;
    std::uint64_t evicted_in_use = 0;
    double batch_fill = 0.0; ///< mean of batch size / limit over the steps
    double busy_share = 0.0; ///< engine time with a batch
};

} // namespace lovagegate::measure

#endif
