#include "lovagegate/cli/command.hpp"

#include <docopt/docopt.h>

namespace lovagegate::cli {

namespace {

constexpr const char* usage =
    R"(lovagegate: routes requests to many LoRA adapters on shared engines.

Usage:
  lovagegate serve --settings=FILE
  lovagegate gateway [--settings=FILE]
  lovagegate check [--settings=FILE] [TICKET...]
  lovagegate status [--json] ADDRESS
  lovagegate --version
  lovagegate --help

Commands:
  serve   Runs one instance until SIGTERM, then ends after the requests in
          flight. A second SIGTERM stops it at once.
  gateway Runs one instance on the operators' platform. Its settings are those
          that the platform writes; without --settings, the environment
          variable LOVAGEGATE_SETTINGS names the file.
  check   Checks a settings file and change tickets, and shows what the
          tickets would change, applied in the order given.
  status  Shows the state of the running instance at ADDRESS, IP:PORT.

Options:
  --settings=FILE  Settings in INI format, see examples/.
  --json           The state as JSON, for programs.
  --version        Shows the version.
  -h --help        Shows this text.

Exit status: 0 success, 1 failure, 2 wrong settings, ticket or command line.
)";

using arguments_map = std::map<std::string, docopt::value>;

bool is_set(const arguments_map& found, const std::string& name)
{
    return found.at(name).isBool() && found.at(name).asBool();
}

check_command make_check(const arguments_map& found)
{
    check_command c;
    if (found.at("--settings").isString()) {
        c.settings_file = found.at("--settings").asString();
    }
    c.ticket_files = found.at("TICKET").asStringList();
    if (!c.settings_file && c.ticket_files.empty()) {
        throw usage_error("check: give --settings=FILE, a TICKET or both");
    }
    return c;
}

status_command make_status(const arguments_map& found)
{
    const std::string& address = found.at("ADDRESS").asString();
    const auto instance = settings::parse_endpoint(address);
    if (!instance) {
        throw usage_error("ADDRESS: expected IP:PORT, found '" + address +
                          '\'');
    }
    return {*instance, is_set(found, "--json")};
}

command make_command(const arguments_map& found)
{
    if (is_set(found, "serve")) {
        return serve_command{found.at("--settings").asString()};
    }
    if (is_set(found, "gateway")) {
        gateway_command c;
        if (found.at("--settings").isString())
            c.settings_file = found.at("--settings").asString();
        return c;
    }
    if (is_set(found, "check")) {
        return make_check(found);
    }
    return make_status(found);
}

} // namespace

command parse(const std::vector<std::string>& arguments)
{
    try {
        return make_command(docopt::docopt_parse(usage, arguments));
    } catch (const docopt::DocoptExitHelp&) {
        return print_command{usage};
    } catch (const docopt::DocoptExitVersion&) {
        return print_command{"lovagegate " LOVAGEGATE_VERSION "\n"};
    } catch (const docopt::DocoptArgumentError&) {
        throw usage_error(usage);
    }
}

} // namespace lovagegate::cli
