#ifndef LOVAGEGATE_MEASURE_COST_HPP
#define LOVAGEGATE_MEASURE_COST_HPP

#include <iosfwd>

namespace lovagegate::measure {

/// Measures, on the clock of this machine, decisions and memory of the pool
/// map and of pool owners at several sizes.
/// @param out gets one JSON object a line for each size
void print_costs(std::ostream& out);

} // namespace lovagegate::measure

#endif
