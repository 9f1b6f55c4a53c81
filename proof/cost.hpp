#ifndef LOVAGEGATE_PROOF_COST_HPP
#define LOVAGEGATE_PROOF_COST_HPP

namespace lovagegate::proof {

/// Prints one JSON object a line for each role and size: memory and processor
/// time of its state and decisions.
void print_costs();

} // namespace lovagegate::proof

#endif
