#include "lovagegate/history/checker.hpp"
#include "lovagegate/history/json_lines.hpp"
#include "proof/cost.hpp"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <string>

namespace {

constexpr const char* usage =
    R"(Checks histories of lovagegate, and measures memory use and CPU time.

The files are the records of one run; their events are merged by time.
Exit status: 0 all rules hold, 1 a rule is broken, 2 a file cannot be read.

Usage:
  lovagegate-proof check [--loads-per-second=N] FILE...
  lovagegate-proof cost
  lovagegate-proof --help

Options:
  --loads-per-second=N  Load rate of the store; 0: not checked [default: 0].
)";

int check(const std::vector<std::string>& files, double loads_per_second)
{
    std::vector<lovagegate::history::event> events;
    for (const std::string& name : files) {
        std::ifstream in(name);
        if (!in) {
            std::cerr << name << ": cannot be read\n";
            return 2;
        }
        try {
            lovagegate::history::read_lines(in, events);
        } catch (const lovagegate::history::bad_line& e) {
            std::cerr << name << ": " << e.what() << '\n';
            return 2;
        }
    }
    lovagegate::history::sort_by_time(events);
    lovagegate::history::check_limits limits;
    limits.loads_per_second = loads_per_second;
    const auto broken = lovagegate::history::check(events, limits);
    for (const auto& v : broken) {
        std::cout << lovagegate::history::describe(v);
    }
    std::cout << events.size() << " events, " << broken.size()
              << " rules broken\n";
    return broken.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    if (args["cost"].asBool()) {
        lovagegate::proof::print_costs();
        return 0;
    }
    return check(args["FILE"].asStringList(),
                 std::stod(args["--loads-per-second"].asString()));
}
