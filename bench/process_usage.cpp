#include "bench/process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace lovagegate::bench {

namespace {

/// Number of fields between the command name and utime in /proc/PID/stat.
constexpr int fields_before_utime = 11;

constexpr std::uint64_t bytes_per_kib = 1024;

} // namespace

process_usage usage_of(int pid)
{
    const std::string proc_dir = "/proc/" + std::to_string(pid);
    std::ifstream stat(proc_dir + "/stat");
    std::string line;
    if (!std::getline(stat, line)) {
        throw process_error("cannot read /proc/PID/stat of process " +
                            std::to_string(pid));
    }
    // The command name may contain spaces and ')'; it ends at the last ')'.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < fields_before_utime; ++i) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    std::uint64_t pages = 0;
    std::ifstream(proc_dir + "/statm") >> skipped >> pages;
    const std::int64_t ticks_per_second = sysconf(_SC_CLK_TCK);
    const auto kib_per_page =
        static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / bytes_per_kib;
    return {std::chrono::duration_cast<duration>(1s) * (user + system) /
                ticks_per_second,
            pages * kib_per_page};
}

} // namespace lovagegate::bench
