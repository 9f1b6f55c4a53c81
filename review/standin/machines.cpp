#include "machines.hpp"

#include "engine.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>

namespace lovagegate::review {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr milliseconds poll_interval{10};
constexpr milliseconds readiness_limit{1000};
constexpr milliseconds answer_limit{12000};

std::string request_for(const std::string& attempt, const std::string& adapter)
{
    const std::string body = "prompt of " + attempt;
    std::array<char, 20> own_part{};
    std::snprintf(own_part.data(), own_part.size(), "%08x",
                  static_cast<unsigned>(std::hash<std::string>()(attempt)));
    std::ostringstream out;
    out << "POST /speak/ HTTP/1.1\r\nHost: review.example\r\n"
        << "X-Attempt-Id: " << attempt << "\r\nX-Model-Name: " << engine::model
        << '/' << adapter
        << "\r\nX-Token-Counts: 30,20\r\nX-Prompt-Prefix: 5c1e07a2:20,"
        << own_part.data() << ":10\r\nX-Request-Deadline: 12000\r\n"
        << "Content-Length: " << body.size() << "\r\n\r\n"
        << body;
    return out.str();
}

/// Sends one request and waits for its answer.
void ask(record& log, const machines& fleet, std::size_t machine,
         const std::string& attempt, const std::string& adapter)
{
    channel c(fleet.ip(machine), fleet.port());
    log.write(attempt + " asks " + machines::name(machine) + " for " + adapter);
    const bool sent = c.is_open() && c.write(request_for(attempt, adapter));
    const auto a = sent ? c.read(answer_limit) : std::nullopt;
    std::string outcome = "no answer";
    if (a)
        outcome = std::to_string(a->status) + (a->whole ? "" : ", cut short");
    log.write(attempt + " gets " + outcome);
}

} // namespace

temporary_folder::temporary_folder()
    : path_((std::filesystem::temp_directory_path() / "review.XXXXXX").string())
{
    if (::mkdtemp(path_.data()) == nullptr)
        path_.clear();
}

void temporary_folder::remove()
{
    std::error_code ignored;
    if (!path_.empty())
        std::filesystem::remove_all(path_, ignored);
    path_.clear();
}

machines::machines(record& log, store& platform, std::string network,
                   std::size_t count)
    : log_(log), store_(platform), network_(std::move(network)),
      processes_(count, 0), started_at_(count, 0)
{
    const auto ports = free_ports(ip(0), 3);
    callers_ = ports.at(0);
    ready_ = ports.at(1);
    control_ = ports.at(2);
}

void machines::limit_cpu()
{
    for (const pid_t pid : processes_) {
        if (pid <= 0)
            continue;
        std::thread([pid, on = limited_] {
            constexpr std::uint64_t allowance_ns = 25000000;
            constexpr milliseconds window{100};
            constexpr milliseconds check_interval{2};
            const auto used = [pid] {
                std::uint64_t ns = 0;
                std::ifstream("/proc/" + std::to_string(pid) + "/schedstat") >>
                    ns;
                return ns;
            };
            while (*on) {
                const auto end = std::chrono::steady_clock::now() + window;
                const std::uint64_t before = used();
                while (*on && std::chrono::steady_clock::now() < end) {
                    if (used() - before >= allowance_ns) {
                        ::kill(pid, SIGSTOP);
                        std::this_thread::sleep_until(end);
                        ::kill(pid, SIGCONT);
                        break;
                    }
                    std::this_thread::sleep_for(check_interval);
                }
            }
        }).detach();
    }
}

machines::~machines()
{
    kill_all();
}

void machines::kill_all()
{
    *limited_ = false;
    std::this_thread::sleep_for(milliseconds(200));
    for (std::size_t m = 0; m < processes_.size(); ++m)
        kill(m);
    folder_.remove();
}

std::string machines::ip(std::size_t machine) const
{
    constexpr std::size_t first = 11;
    return network_ + '.' + std::to_string(first + machine);
}

std::string machines::name(std::size_t machine)
{
    return "machine-" + std::to_string(machine);
}

std::string machines::settings_file(std::size_t machine) const
{
    return folder_.path() + '/' + name(machine) + ".conf";
}

void machines::write_settings(std::size_t machine,
                              const std::vector<std::size_t>& seeds,
                              bool first_start)
{
    const auto at = [](const std::string& ip, std::uint16_t port) {
        return ip + ':' + std::to_string(port);
    };
    std::string seed_list;
    for (const auto s : seeds)
        seed_list += (seed_list.empty() ? "" : ",") + at(ip(s), control_);
    const std::string own = ip(machine);
    std::ofstream(settings_file(machine))
        << "nodeName=" << name(machine) << "\nrole=gateway"
        << "\nmachineClass=frontend\nserves=frontend,control_plane"
        << "\nipAddress=" << own << "\nzone=zone-a\nregion=region-a"
        << "\nzones.zone-a=region-a"
        << "\nlistenAddresses.frontend=" << at(own, callers_)
        << "\nlistenAddresses.ready=" << at(own, ready_)
        << "\nlistenAddresses.control=" << at(own, control_)
        << "\ninternalPortRange=7380,7395\nseeds=" << seed_list
        << "\nbootstrap=" << (first_start ? "true" : "false")
        << "\nlimits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260"
        << "\nlimits.fileDescriptors=4100\nlimits.linkMbps=1000.0"
        << "\ndiscovery=platform\nentry=virtual_ip\nheartbeatIntervalMs=1200"
        << "\nbounds.seedLagS=3\nbounds.reuseAfterS=2"
        << "\nbounds.stableWindowMs=3000\nbounds.ackTimeoutMs=4000"
        << "\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.gracePeriodS=8"
        << "\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000"
        << "\nbounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000"
        << "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
        << "\nbounds.retryBudgetSlack=58\nbounds.recoveryS=12"
        << "\nbounds.passMs=120\nbounds.retryAfterS=0"
        << "\nbounds.requireFencing=" << (fencing_ ? "true" : "false")
        << "\nbounds.leaseDurationMs=3000"
        << "\nbounds.thawSlackMs=300\nbounds.ceilingWindowS=5"
        << "\nbounds.ceilingOverage=1.1\nbounds.version_ms=5000"
        << "\nplatform.address=" << at(network_ + ".1", store_.port(machine))
        << "\nplatform.form=read\nplatform.readsPerS=2000"
        << "\nplatform.historyS=20\nplatform.valueBytes=1048576\n";
}

void machines::start(std::size_t machine, const std::vector<std::size_t>& seeds,
                     bool first_start)
{
    write_settings(machine, seeds, first_start);
    const std::string settings =
        "LOVAGEGATE_SETTINGS=" + settings_file(machine);
    const std::string log = folder_.path() + '/' + name(machine) + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const char* const words[] = {"target/lovagegate", "gateway", nullptr};
        const char* const variables[] = {settings.c_str(), nullptr};
        ::execve(words[0], const_cast<char* const*>(words),
                 const_cast<char* const*>(variables));
        ::_exit(EXIT_FAILURE);
    }
    processes_.at(machine) = pid;
    started_at_.at(machine) = log_.write(name(machine) + " starts");
}

void machines::kill(std::size_t machine)
{
    const pid_t pid = std::exchange(processes_.at(machine), 0);
    if (pid <= 0)
        return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    log_.write(name(machine) + " is killed");
    if (const char* const keep = std::getenv("KEEP_LOGS"))
        std::filesystem::copy_file(
            folder_.path() + '/' + name(machine) + ".log",
            std::string(keep) + '/' + name(machine) + ".log",
            std::filesystem::copy_options::overwrite_existing);
}

bool machines::is_ready(std::size_t machine) const
{
    channel c(ip(machine), ready_);
    if (!c.is_open() ||
        !c.write("GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"))
        return false;
    const auto a = c.read(readiness_limit);
    return a && a->status == ok;
}

bool machines::wait_ready(const std::vector<std::size_t>& list,
                          milliseconds limit) const
{
    for (const auto m : list)
        if (!wait_until([&] { return is_ready(m); }, limit)) {
            log_.write(name(m) + " isn't ready");
            std::ignore = has_one_ended();
            return false;
        }
    return true;
}

bool machines::has_one_ended() const
{
    for (std::size_t m = 0; m < processes_.size(); ++m) {
        int status = 0;
        if (processes_[m] <= 0 ||
            ::waitpid(processes_[m], &status, WNOHANG) != processes_[m])
            continue;
        std::string last;
        std::ifstream log(folder_.path() + '/' + name(m) + ".log");
        for (std::string line; std::getline(log, line);)
            last = line;
        log_.write(name(m) + " has ended, status " + std::to_string(status) +
                   ", last line: " + last);
        return true;
    }
    return false;
}

callers::callers(record& log, const machines& fleet,
                 std::vector<std::size_t> list,
                 std::function<std::string(std::size_t)> next_adapter,
                 std::string name, milliseconds interval)
    : stopped_(std::make_shared<std::atomic<bool>>(false))
{
    std::thread([stopped = stopped_, &log, &fleet, list = std::move(list),
                 next_adapter = std::move(next_adapter), name = std::move(name),
                 interval] {
        for (std::size_t n = 0; !*stopped; ++n) {
            const auto machine = list[n % list.size()];
            const std::string attempt = name + '-' + std::to_string(n);
            const std::string adapter = next_adapter(n);
            std::thread([&log, &fleet, machine, attempt, adapter] {
                ask(log, fleet, machine, attempt, adapter);
            }).detach();
            std::this_thread::sleep_for(interval);
        }
    }).detach();
}

std::string own_network()
{
    constexpr int most = 200;
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(20 + pid % most) + '.' +
           std::to_string(20 + pid / most % most);
}

json model_config(std::uint64_t version, const std::string& service)
{
    const json route{{"name", "speak"},     {"host", "review.example"},
                     {"prefix", "/speak/"}, {"kind", "streaming"},
                     {"timeoutMs", 12000},  {"targetLatencyMs", 500},
                     {"priority", 1},       {"service", service},
                     {"maxAttempts", 2},    {"sessionAffinity", true},
                     {"resumable", true},   {"gapAimMs", 250}};
    const json base{{"name", engine::model}, {"weightsSize", 16100.0},
                    {"loadTimeS", 0.6},      {"adapters", 3000},
                    {"adapterMb", 14.0},     {"warmS", 0.27},
                    {"diskS", 0.35}};
    const json spec{{"slots", 64},
                    {"kvCacheTokens", 156703},
                    {"tokenKvBytes", 131072},
                    {"linkMbps", 260000.0},
                    {"stride", 6},
                    {"upperLimit", 12},
                    {"models", json::array({base})},
                    {"weightsSize", 16800.0},
                    {"adapterSlots", engine::adapter_slots},
                    {"loadsPerS", 4.3}};
    const json models{{"name", service},       {"healthCheckPath", "/health"},
                      {"maxConnections", 370}, {"protocol", "h1"},
                      {"tls", false},          {"engine", spec}};
    return {{"version", version},
            {"routes", json::array({route})},
            {"services", json::array({models})},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace lovagegate::review
