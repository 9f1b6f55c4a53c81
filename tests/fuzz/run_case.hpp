#ifndef LOVAGEGATE_TESTS_FUZZ_RUN_CASE_HPP
#define LOVAGEGATE_TESTS_FUZZ_RUN_CASE_HPP

#include "tests/fuzz/command.hpp"
#include "tests/sim/world.hpp"

#include <string>
#include <vector>

namespace lovagegate::fuzz {

/// @return a fleet of three instances, two engines and two plain targets
[[nodiscard]] sim::world_settings small_fleet(std::uint64_t seed);

/// Carries out the commands on a small fleet, then ends every failure, waits
/// until the fleet has settled, and asks each instance for everything that
/// the oracle says must run.
/// @return what was wrong, empty when all is well
[[nodiscard]] std::string run_case(const std::vector<command>& commands,
                                   sim::world_settings settings);

} // namespace lovagegate::fuzz

#endif
