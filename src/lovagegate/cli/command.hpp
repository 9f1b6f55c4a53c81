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

/// Runs an instance on the operators' platform.
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

/// Prints the state of a running instance.
struct status_command
{
    settings::endpoint instance;
    bool json = false;
};

/// Prints a text and exits.
struct print_command
{
    std::string text;
};

using command = std::variant<serve_command, gateway_command, check_command,
                             status_command, print_command>;

/// Thrown when the command line does not match the usage.
class usage_error : public error
{
public:
    using error::error;
};

/// @param arguments without the name of the program
/// @throws usage_error with a message or the usage text
[[nodiscard]] command parse(const std::vector<std::string>& arguments);

} // namespace lovagegate::cli

#endif
