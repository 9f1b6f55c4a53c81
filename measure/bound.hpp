#ifndef LOVAGEGATE_MEASURE_BOUND_HPP
#define LOVAGEGATE_MEASURE_BOUND_HPP

#include "measure/scenario.hpp"
#include "measure/workload.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace lovagegate::measure {

/// Belady's rule over all slots together: requests served in their order,
/// each miss loading its adapter in place of the one whose next use is the
/// latest. Loads and answers take no time.
/// @return for each request whether it misses
[[nodiscard]] std::vector<bool>
clairvoyant_misses(std::span<const request> requests, std::size_t slots);

} // namespace lovagegate::measure

#endif
