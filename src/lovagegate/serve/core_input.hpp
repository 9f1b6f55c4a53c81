#ifndef LOVAGEGATE_SERVE_CORE_INPUT_HPP
#define LOVAGEGATE_SERVE_CORE_INPUT_HPP

#include "lovagegate/node/inputs.hpp"

#include <functional>

namespace lovagegate::serve {

/// Callback by which the tasks that own sockets submit inputs to the decision
/// core.
using core_input = std::function<void(const node::input&)>;

} // namespace lovagegate::serve

#endif
