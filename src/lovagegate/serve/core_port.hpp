#ifndef LOVAGEGATE_SERVE_CORE_PORT_HPP
#define LOVAGEGATE_SERVE_CORE_PORT_HPP

#include "lovagegate/node/inputs.hpp"

#include <functional>

namespace lovagegate::serve {

/// How the tasks that own sockets hand their messages to the decision core.
using core_port = std::function<void(const node::input&)>;

} // namespace lovagegate::serve

#endif
