#include "lovagegate/logging/log.hpp"
#include "lovagegate/serve/signals.hpp"
#include "soak/site.hpp"

#include <docopt/docopt.h>

#include <filesystem>
#include <iostream>

namespace {

using namespace lovagegate;

constexpr std::size_t kb_in_mb = 1024;

constexpr const char* usage =
    R"(lovagegate-soak: plays faults around real instances, and judges.

Usage:
  lovagegate-soak [options]

Options:
  --program=FILE    The server [default: build/lovagegate].
  --seed=N          Decides all that is drawn [default: 1].
  --seconds=N       Time with callers [default: 20].
  --instances=N     Processes, 2 to 100 [default: 4].
  --callers=N       Callers for each instance [default: 6].
  --most-mb=N       Largest resident size of an instance [default: 60].
  --logs=DIR        Takes settings, logs and the plan as it was played; kept
                    if a promise was broken [default: build/soak].
  --keep            Keeps the logs in any case.
  -h --help         Shows this text.

Exit status: 0 all promises kept, 1 one was broken or the soak was interrupted.
)";

soak::soak_settings read_settings(std::map<std::string, docopt::value>& a)
{
    soak::soak_settings s;
    s.plan.seed = static_cast<std::uint64_t>(a["--seed"].asLong());
    s.plan.length = std::chrono::seconds(a["--seconds"].asLong());
    s.plan.instances = static_cast<std::size_t>(a["--instances"].asLong());
    s.callers_for_each_instance =
        static_cast<std::size_t>(a["--callers"].asLong());
    s.most_resident_kb =
        static_cast<std::size_t>(a["--most-mb"].asLong()) * kb_in_mb;
    s.program = std::filesystem::absolute(a["--program"].asString());
    s.folder = a["--logs"].asString() + "/seed-" + a["--seed"].asString();
    return s;
}

/// @return whether all promises were kept
bool play(const soak::soak_settings& s)
{
    bool interrupted = false;
    soak::site site(s);
    const serve::signal_handlers handler([&] {
        interrupted = true;
        site.stop();
    });
    site.run();
    std::cout << site.summary() << std::endl;
    if (interrupted)
        std::cout << "interrupted\n";
    return site.broken() == 0 && !interrupted;
}

} // namespace

int main(int argc, char** argv)
{
    namespace fs = std::filesystem;
    try {
        logging::configure(settings::log_level::error);
        auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
        const auto s = read_settings(arguments);
        fs::remove_all(s.folder);
        fs::create_directories(s.folder);
        const bool kept = play(s);
        if (kept && !arguments["--keep"].asBool())
            fs::remove_all(s.folder);
        else
            std::cout << "logs: " << s.folder << '\n';
        return kept ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << "lovagegate-soak: " << e.what() << '\n';
        return 1;
    }
}
