#ifndef LOVAGEGATE_CLI_CHECK_HPP
#define LOVAGEGATE_CLI_CHECK_HPP

#include "lovagegate/cli/command.hpp"

#include <iosfwd>

namespace lovagegate::cli {

/// @param c files to check
/// @param out what is right, and what each ticket would change
/// @param err what is wrong: file, line, key and what was expected
/// @return whether everything is right
[[nodiscard]] bool check(const check_command& c, std::ostream& out,
                         std::ostream& err);

} // namespace lovagegate::cli

#endif
