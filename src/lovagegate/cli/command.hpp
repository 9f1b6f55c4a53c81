#ifndef LOVAGEGATE_CLI_COMMAND_HPP
#define LOVAGEGATE_CLI_COMMAND_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The command line.
namespace lovagegate::cli {

/// Runs an instance.
struct serve_command
{
    std::string settings_file;
};

/// Runs an instance on the users' platform.
struct gateway_command
{
    std::optional<std::string> settings_file;
};

/// Checks settings and tickets without running anything.
struct check_command
{
    std::optional<std::string> settings_file;
    std::vector<std::string> ticket_files;
};

/// Asks a running instance for its state.
struct status_command
{
    settings::endpoint instance;
    bool json = false;
};

/// Prints a text and ends.
struct print_command
{
    std::string text;
};

using command = std::variant<serve_command, gateway_command, check_command,
                             status_command, print_command>;

/// The command line is not one that the usage allows.
class usage_error : public error
{
public:
    using error::error;
};

/// @param arguments without the name of the program
/// @throws usage_error with the usage
[[nodiscard]] command parse(const std::vector<std::string>& arguments);

} // namespace lovagegate::cli

#endif
