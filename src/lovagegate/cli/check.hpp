#ifndef LOVAGEGATE_CLI_CHECK_HPP
#define LOVAGEGATE_CLI_CHECK_HPP

#include "lovagegate/cli/command.hpp"

#include <iosfwd>

namespace lovagegate::cli {

/// @param c files to check
/// @param out receives the valid files and the changes of each ticket
/// @param err receives the faults: file, line, key and expected value
/// @return whether all files are valid
[[nodiscard]] bool check(const check_command& c, std::ostream& out,
                         std::ostream& err);

} // namespace lovagegate::cli

#endif
