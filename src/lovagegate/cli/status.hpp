#ifndef LOVAGEGATE_CLI_STATUS_HPP
#define LOVAGEGATE_CLI_STATUS_HPP

#include "lovagegate/cli/command.hpp"

#include <iosfwd>

namespace lovagegate::cli {

/// @param c address of the instance and output format
/// @param out receives the state
/// @param err receives the reason if the state is not available
/// @return whether the state was printed
[[nodiscard]] bool status(const status_command& c, std::ostream& out,
                          std::ostream& err);

} // namespace lovagegate::cli

#endif
