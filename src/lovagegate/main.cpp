#include "lovagegate/cli/check.hpp"
#include "lovagegate/cli/command.hpp"
#include "lovagegate/cli/status.hpp"
#include "lovagegate/logging/log.hpp"
#include "lovagegate/serve/daemon.hpp"
#include "lovagegate/serve/signals.hpp"
#include "lovagegate/settings/load.hpp"
#include "lovagegate/settings/problem.hpp"

#include <iostream>

namespace {

using namespace lovagegate;

constexpr int success = 0;
constexpr int failure = 1;
constexpr int wrong_input = 2;

int run(const cli::serve_command& c)
{
    auto checked = settings::load(c.settings_file);
    logging::configure(checked.log.level);
    serve::daemon daemon(std::move(checked));
    const serve::signals handler(daemon);
    return daemon.run() ? success : failure;
}

int run(const cli::check_command& c)
{
    return cli::check(c, std::cout, std::cerr) ? success : wrong_input;
}

int run(const cli::status_command& c)
{
    return cli::status(c, std::cout, std::cerr) ? success : failure;
}

int run(const cli::print_command& c)
{
    std::cout << c.text;
    return success;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        return std::visit([](const auto& c) { return run(c); },
                          cli::parse(arguments));
    } catch (const cli::usage_error& e) {
        std::cerr << e.what() << '\n';
        return wrong_input;
    } catch (const settings::settings_error& e) {
        std::cerr << e.what() << '\n';
        return wrong_input;
    } catch (const std::exception& e) {
        std::cerr << "lovagegate: " << e.what() << '\n';
        return failure;
    }
}
