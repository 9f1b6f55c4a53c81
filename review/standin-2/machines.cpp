#include "machines.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* program = "target/lovagegate";

std::string in_hex(std::uint64_t n)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(n));
    return text.data();
}

} // namespace

record::record(const std::string& file) : out_(file), start_(now_ms())
{
    if (!out_)
        throw std::runtime_error("cannot write " + file);
}

void record::add(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    out_ << now_ms() - start_ << " ms  " << line << std::endl;
}

machines::machines(site_settings site, std::string directory, record& out)
    : site_(std::move(site)), directory_(std::move(directory)), record_(out)
{
    // Two scripts that run side by side get different addresses.
    const auto process = static_cast<unsigned>(::getpid());
    network_ = "127." + std::to_string(20 + process % 200) + "." +
               std::to_string(process / 200 % 240);
    for (std::size_t z = 0; z < site_.zones.size(); ++z)
        for (std::size_t i = 0; i < site_.machines_in_zone.at(z); ++i) {
            zones_.push_back(site_.zones[z]);
            addresses_.push_back(network_ + "." +
                                 std::to_string(addresses_.size() + 1));
        }
    processes_.assign(addresses_.size(), 0);
    caller_port_ = find_free_port(addresses_);
    ready_port_ = find_free_port(addresses_);
    control_port_ = find_free_port(addresses_);
    peer_port_ = find_free_port(addresses_);
    std::vector<std::string> of_store;
    for (const auto& e : store_addresses())
        of_store.push_back(e.address);
    store_port_ = find_free_port(of_store);
}

machines::~machines()
{
    for (const pid_t p : processes_)
        if (p > 0) {
            ::kill(p, SIGKILL);
            ::waitpid(p, nullptr, 0);
        }
}

std::vector<endpoint> machines::store_addresses() const
{
    constexpr std::size_t first = 100;
    std::vector<endpoint> out;
    for (std::size_t i = 0; i < addresses_.size(); ++i)
        out.push_back(
            {network_ + "." + std::to_string(first + i), store_port_});
    return out;
}

std::string machines::engine_address(std::size_t number) const
{
    constexpr std::size_t first = 150;
    return network_ + "." + std::to_string(first + number);
}

std::string machines::settings_file(std::size_t machine) const
{
    return directory_ + "/boot-" + std::to_string(machine) + ".conf";
}

void machines::write_settings(std::size_t machine, bool first_start) const
{
    const auto& address = addresses_.at(machine);
    const auto at = [&](int port) {
        return address + ":" + std::to_string(port);
    };
    const auto store_at = store_addresses().at(machine);
    std::ofstream out(settings_file(machine));
    out << "nodeName=frontend-" << zones_[machine] << "-" << machine + 1
        << "\nrole=gateway\nmachineClass=frontend"
        << "\nserves=frontend,control_plane\nipAddress=" << address
        << "\nzone=" << zones_[machine] << "\nregion=kerala\n";
    for (const auto& z : site_.zones)
        out << "zones." << z << "=kerala\n";
    out << "listenAddresses.frontend=" << at(caller_port_)
        << "\nlistenAddresses.ready=" << at(ready_port_)
        << "\nlistenAddresses.control=" << at(control_port_)
        << "\ninternalPortRange=" << peer_port_ << "," << peer_port_ + 15
        << "\nseeds=";
    constexpr std::size_t seeds = 3;
    for (std::size_t i = 0; i < std::min(seeds, addresses_.size()); ++i)
        out << (i == 0 ? "" : ",") << addresses_[i] << ":" << control_port_;
    out << "\nbootstrap=" << (first_start ? "true" : "false")
        << "\ncountedInTolerance=false\nlimits.cpuShare=0.25"
        << "\nlimits.cpuCores=1\nlimits.memoryMb=260"
        << "\nlimits.fileDescriptors=4100\nlimits.linkMbps=1000.0"
        << "\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip"
        << "\nheartbeatIntervalMs=1200"
        << "\ncontracts=base,drain,config,cost,retry,recover,fleet,stream,"
           "engine,platform"
        << "\nfaultTolerance.machines=2\nfaultTolerance.zones=0"
        << "\nfaultTolerance.regions=0\nbounds.seedLagS=3"
        << "\nbounds.reuseAfterS=2\nbounds.stableWindowMs="
        << site_.stable_window_ms << "\nbounds.ackTimeoutMs=4000"
        << "\nbounds.catchUpS=4\nbounds.drainMs=" << site_.drain_ms
        << "\nbounds.gracePeriodS=8\nbounds.lossSlackMs=200"
        << "\nbounds.configApplyMs=" << site_.config_apply_ms
        << "\nbounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000"
        << "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
        << "\nbounds.retryBudgetSlack=56\nbounds.recoveryS=12"
        << "\nbounds.passMs=120\nbounds.retryAfterS=0"
        << "\nbounds.requireFencing=true\nbounds.leaseDurationMs=3000"
        << "\nbounds.thawSlackMs=300\nbounds.ceilingWindowS=5"
        << "\nbounds.ceilingOverage=1.1\nbounds.version_ms=5000"
        << "\nplatform.address=" << store_at.address << ":" << store_at.port
        << "\nplatform.form=read\nplatform.readsPerS=2000"
        << "\nplatform.historyS=20\nplatform.valueBytes=1048576\n";
}

void machines::start(std::size_t machine, bool first_start)
{
    write_settings(machine, first_start);
    const std::string variable =
        "LOVAGEGATE_SETTINGS=" + settings_file(machine);
    const std::string log =
        directory_ + "/gateway-" + std::to_string(machine) + ".log";
    const pid_t p = ::fork();
    if (p == 0) {
        // The process must not outlive a script that is ended early.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execle(program, program, "gateway", nullptr,
                 std::array<const char*, 2>{variable.c_str(), nullptr}.data());
        ::_exit(127);
    }
    processes_.at(machine) = p;
    record_.add("machine " + std::to_string(machine + 1) + " (" +
                zones_.at(machine) + ") starts");
}

void machines::kill(std::size_t machine)
{
    pid_t& p = processes_.at(machine);
    ::kill(p, SIGKILL);
    ::waitpid(p, nullptr, 0);
    p = 0;
    record_.add("machine " + std::to_string(machine + 1) + " loses power");
}

void machines::terminate(std::size_t machine)
{
    record_.add("machine " + std::to_string(machine + 1) + " gets SIGTERM");
    pid_t& p = processes_.at(machine);
    ::kill(p, SIGTERM);
    ::waitpid(p, nullptr, 0);
    p = 0;
    record_.add("machine " + std::to_string(machine + 1) + " has ended");
}

bool machines::is_ready(std::size_t machine) const
{
    constexpr std::int64_t timeout_ms = 500;
    const int fd =
        connect_to({addresses_.at(machine), ready_port_}, timeout_ms);
    if (fd < 0)
        return false;
    std::string rest;
    send_all(fd, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto reply = read_message(fd, rest);
    ::close(fd);
    return reply && reply->word(1) == "200";
}

bool machines::wait_until_ready(std::int64_t timeout_ms) const
{
    constexpr std::int64_t interval_ms = 100;
    const std::int64_t end = now_ms() + timeout_ms;
    for (std::size_t i = 0; i < count(); ++i)
        while (!is_ready(i)) {
            if (now_ms() > end)
                return false;
            sleep_ms(interval_ms);
        }
    return true;
}

caller_answer machines::ask(std::size_t machine, const std::string& method,
                            const std::string& path, std::int64_t deadline_ms,
                            const std::string& headers) const
{
    caller_answer out;
    out.attempt = in_hex(next_attempt_++);
    out.machine = machine;
    out.sent = now_ms();
    const int fd =
        connect_to({addresses_.at(machine), caller_port_}, deadline_ms);
    if (fd >= 0) {
        std::string rest;
        const std::string body = method == "POST" ? "signed" : "";
        std::string head = method + " " + path +
                           " HTTP/1.1\r\nHost: review.example"
                           "\r\nX-Attempt-Id: " +
                           out.attempt + "\r\nX-Request-Deadline: " +
                           std::to_string(deadline_ms) + "\r\n" + headers;
        if (!body.empty())
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        out.sent = now_ms();
        send_all(fd, head + "\r\n" + body);
        if (const auto reply = read_message(fd, rest)) {
            out.status = std::atoi(reply->word(1).c_str());
            out.body = reply->body;
        }
        ::close(fd);
    }
    out.ended = now_ms();
    return out;
}

bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

std::string make_directory()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary folder");
    return name;
}

} // namespace review
