#include "review/standin-3/site.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace lovagegate::review {

namespace {

constexpr std::uint16_t callers_port = 8149;
constexpr std::uint16_t readiness_port = 8141;
constexpr std::uint16_t control_port = 8144;

/// @return a loopback address that nothing else is likely to use
std::string random_address(std::mt19937& random)
{
    std::uniform_int_distribution<int> part(2, 250);
    return "127." + std::to_string(part(random)) + '.' +
           std::to_string(part(random)) + '.' + std::to_string(part(random));
}

} // namespace

record::record(const std::string& file)
    : out_(file, std::ios::trunc), start_(net::event_loop::now().mono)
{
}

double record::seconds() const
{
    return to_seconds(net::event_loop::now().mono - start_);
}

void record::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", seconds());
    out_ << time << text << '\n';
    out_.flush();
}

site::site(net::event_loop& loop, const site_options& options)
    : loop_(loop), options_(options), store_(loop)
{
    std::mt19937 random(std::random_device{}());
    for (std::size_t i = 0; i < options_.instances; ++i)
        addresses_.push_back(random_address(random));
    processes_.resize(options_.instances);
    started_.resize(options_.instances);
}

site::~site()
{
    for (std::size_t i = 0; i < processes_.size(); ++i)
        processes_[i].reset();
}

std::string site::address(std::size_t instance) const
{
    return addresses_.at(instance);
}

settings::endpoint site::callers(std::size_t instance) const
{
    return {address(instance), callers_port};
}

settings::endpoint site::readiness(std::size_t instance) const
{
    return {address(instance), readiness_port};
}

std::string site::log_file(std::size_t instance) const
{
    return options_.folder + "/instance-" + std::to_string(instance) + ".log";
}

void site::write_settings(std::size_t instance, bool first_start) const
{
    const std::string ip = address(instance);
    const auto at = [&](std::uint16_t port) {
        return ip + ':' + std::to_string(port);
    };
    std::string seeds;
    for (std::size_t i = 0; i < addresses_.size() && i < 3; ++i)
        seeds += (i == 0 ? "" : ",") + addresses_[i] + ':' +
                 std::to_string(control_port);
    std::ofstream out(options_.folder + "/instance-" +
                      std::to_string(instance) + ".conf");
    out << "nodeName=frontend-z-" << instance << "\nrole=gateway"
        << "\nmachineClass=frontend\nserves=frontend,control_plane"
        << "\nipAddress=" << ip << "\nzone=z\nregion=r\nzones.z=r"
        << "\nlistenAddresses.frontend=" << at(callers_port)
        << "\nlistenAddresses.ready=" << at(readiness_port)
        << "\nlistenAddresses.control=" << at(control_port)
        << "\ninternalPortRange=7380,7395\nseeds=" << seeds
        << "\nbootstrap=" << (first_start ? "true" : "false")
        << "\ncountedInTolerance=false\nlimits.cpuShare=0.25"
        << "\nlimits.cpuCores=1\nlimits.memoryMb=260"
        << "\nlimits.fileDescriptors=4100\nlimits.linkMbps=1000.0"
        << "\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip"
        << "\nheartbeatIntervalMs=1200\ncontracts=" << options_.contracts
        << "\nfaultTolerance.machines=2\nfaultTolerance.zones=0"
        << "\nfaultTolerance.regions=0\nbounds.seedLagS=3"
        << "\nbounds.reuseAfterS=2\nbounds.stableWindowMs="
        << options_.stable_ms << "\nbounds.ackTimeoutMs=4000"
        << "\nbounds.catchUpS=4\nbounds.drainMs=" << options_.drain_ms
        << "\nbounds.gracePeriodS=" << options_.grace_s
        << "\nbounds.lossSlackMs=200\nbounds.configApplyMs="
        << options_.apply_ms
        << "\nbounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000"
        << "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
        << "\nbounds.retryBudgetSlack=58\nbounds.recoveryS=12"
        << "\nbounds.passMs=120\nbounds.retryAfterS=0"
        << "\nbounds.requireFencing=true\nbounds.leaseDurationMs=3000"
        << "\nbounds.thawSlackMs=300\nbounds.ceilingWindowS=5"
        << "\nbounds.ceilingOverage=1.1\nbounds.version_ms=5000"
        << "\nplatform.address=127.0.0.1:"
        << (options_.store_port != 0 ? options_.store_port : store_.port())
        << "\nplatform.form=read\nplatform.readsPerS=2000"
        << "\nplatform.historyS=20\nplatform.valueBytes=1048576\n";
}

void site::start(std::size_t instance)
{
    write_settings(instance, !started_.at(instance));
    started_.at(instance) = true;
    const std::string file =
        options_.folder + "/instance-" + std::to_string(instance) + ".conf";
    ::setenv("LOVAGEGATE_SETTINGS", file.c_str(), 1);
    processes_.at(instance) = std::make_unique<soak::child_process>(
        std::vector<std::string>{options_.program, "gateway"},
        log_file(instance));
}

void site::signal(std::size_t instance, int number)
{
    if (processes_.at(instance))
        processes_.at(instance)->send(number);
}

void site::kill(std::size_t instance)
{
    processes_.at(instance).reset();
}

bool site::is_running(std::size_t instance)
{
    return processes_.at(instance) && !processes_.at(instance)->poll();
}

void leave(site& s, const std::string& folder, int result)
{
    for (std::size_t i = 0; i < s.size(); ++i)
        s.kill(i);
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder);
    std::_Exit(result);
}

double site::resident_mb(std::size_t instance)
{
    constexpr double kb_per_mb = 1024;
    const auto size =
        is_running(instance) ? processes_.at(instance)->size() : std::nullopt;
    return size ? static_cast<double>(size->resident_kb) / kb_per_mb : 0;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool is_calm()
{
    const char* const trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string_view(trouble) == "0";
}

std::string make_temporary_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    return name;
}

std::vector<std::string> lines_with(const std::string& file,
                                    const std::string& word)
{
    std::ifstream in(file);
    std::vector<std::string> out;
    for (std::string line; std::getline(in, line);)
        if (line.find(word) != std::string::npos)
            out.push_back(line);
    return out;
}

} // namespace lovagegate::review
