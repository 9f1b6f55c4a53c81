#ifndef LOVAGEGATE_CLI_STATUS_HPP
#define LOVAGEGATE_CLI_STATUS_HPP

#include "lovagegate/cli/command.hpp"

#include <iosfwd>

namespace lovagegate::cli {

/// @param c instance to ask
/// @param out its state
/// @param err why there is none
/// @return whether the instance answered
[[nodiscard]] bool status(const status_command& c, std::ostream& out,
                          std::ostream& err);

} // namespace lovagegate::cli

#endif
