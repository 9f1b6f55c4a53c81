#ifndef LOVAGEGATE_PROOF_COST_HPP
#define LOVAGEGATE_PROOF_COST_HPP

namespace lovagegate::proof {

/// Measures the memory use and CPU time of each role at several sizes. Prints
/// one JSON object per line for each role and size.
void print_costs();

} // namespace lovagegate::proof

#endif
