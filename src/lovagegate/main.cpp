#include "lovagegate/cli/check.hpp"
#include "lovagegate/cli/command.hpp"
#include "lovagegate/cli/status.hpp"
#include "lovagegate/gateway/gateway_daemon.hpp"
#include "lovagegate/logging/log.hpp"
#include "lovagegate/serve/daemon.hpp"
#include "lovagegate/serve/signals.hpp"
#include "lovagegate/settings/load.hpp"
#include "lovagegate/settings/problem.hpp"

#include "platform/boot_settings.hpp"

#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace lovagegate;

constexpr int success = 0;
constexpr int failure = 1;
constexpr int invalid_input = 2;

int run(const cli::serve_command& c)
{
    auto checked = settings::load(c.settings_file);
    logging::configure(checked.log.level);
    std::optional<serve::blocked_signals> blocked(std::in_place);
    serve::daemon daemon(std::move(checked));
    const serve::signal_handlers handler([&] { daemon.stop(); });
    blocked.reset();
    return daemon.run() ? success : failure;
}

int run(const cli::gateway_command& c)
{
    const char* const named = std::getenv(platform_wire::settings_variable);
    if (!c.settings_file && named == nullptr)
        throw cli::usage_error("gateway: give --settings=FILE or set " +
                               std::string(platform_wire::settings_variable));
    const std::string file = c.settings_file ? *c.settings_file : named;
    logging::configure(settings::log_level::info);
    const auto read = [file] { return platform_wire::load_settings(file); };
    std::optional<serve::blocked_signals> blocked(std::in_place);
    gateway::gateway_daemon daemon(read(), read);
    const serve::signal_handlers handler([&] { daemon.stop(); },
                                         [&] { daemon.reload(); });
    blocked.reset();
    daemon.run();
    return success;
}

int run(const cli::check_command& c)
{
    return cli::check(c, std::cout, std::cerr) ? success : invalid_input;
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
        return invalid_input;
    } catch (const platform_wire::boot_error& e) {
        std::cerr << e.what() << '\n';
        return invalid_input;
    } catch (const settings::settings_error& e) {
        std::cerr << e.what() << '\n';
        return invalid_input;
    } catch (const std::exception& e) {
        std::cerr << "lovagegate: " << e.what() << '\n';
        return failure;
    }
}
