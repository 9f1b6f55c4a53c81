#ifndef LOVAGEGATE_TESTS_CALLERS_GATEWAY_PROCESS_HPP
#define LOVAGEGATE_TESTS_CALLERS_GATEWAY_PROCESS_HPP

#include "lovagegate/settings/endpoint.hpp"
#include "soak/child_process.hpp"
#include "standins/site/dialect.hpp"
#include "standins/site/platform_store.hpp"
#include "tests/callers/crowd.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

namespace lovagegate::callers_test {

#if defined(__SANITIZE_ADDRESS__)
/// The program is the one that CMake builds beside the tests. Under the address
/// sanitizer red zones, shadow memory and its allocator multiply what the
/// program holds, so the bound is a multiple of the memory limit.
inline constexpr std::size_t resident_factor = 3;
#else
inline constexpr std::size_t resident_factor = 1;
#endif

/// Longer than a start or one request takes on a busy machine.
inline constexpr auto max_wait = 20s;

/// @return a loopback address that no other process and no earlier start uses
inline std::string own_address()
{
    static unsigned starts = 0;
    const auto pid = static_cast<unsigned>(::getpid());
    constexpr unsigned range = 200;
    return "127." + std::to_string(16 + pid / range % range) + "." +
           std::to_string(1 + pid % range) + "." +
           std::to_string(1 + starts++ % range);
}

/// @return the largest resident size of the process so far
inline std::size_t peak_resident_kb(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::size_t kb = 0;
    for (std::string word; in >> word;)
        if (word == "VmHWM:") {
            in >> kb;
            break;
        }
    return kb;
}

/// Where callers send to.
enum class place : std::uint8_t
{
    routed_path,
    path_without_route,
    ready_address,
    metrics_address,
    control_address,
};

/// Limits in the settings of the process.
struct process_limits
{
    std::size_t memory_mb = 120;
    std::size_t descriptors = 3075;
    /// The system's own limit, lower than the one in the settings.
    std::size_t system_descriptors = 3075;
};

/// `lovagegate gateway` as a process of its own, with a store and one target.
class gateway_process
{
public:
    explicit gateway_process(process_limits limits = {}) : limits_(limits)
    {
        std::promise<std::uint16_t> store_port;
        standins_ = std::thread([this, &store_port] {
            net::event_loop loop;
            standins::platform_store store(loop);
            standins::scripted_server target(
                loop, [](const standins::seen_request& r) {
                    constexpr int ok = 200;
                    constexpr std::size_t large = std::size_t{512} * 1024;
                    const bool is_large = r.head.target == "/p/large";
                    return standins::signed_answer(
                        r, ok, std::string(is_large ? large : 4, 'x'));
                });
            store.put_target("i-0", standins::entry_text(target.port()));
            store.put_config(standins::config_text({}));
            loop_ = &loop;
            store_port.set_value(store.port());
            loop.run();
        });
        start(store_port.get_future().get());
    }

    ~gateway_process()
    {
        process_.reset();
        loop_->stop();
        standins_.join();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    [[nodiscard]] settings::endpoint at(place p) const
    {
        constexpr std::uint16_t ready = 8141;
        constexpr std::uint16_t control = 8144;
        constexpr std::uint16_t metrics = 9464;
        switch (p) {
        case place::ready_address:
            return {address_, ready};
        case place::control_address:
            return {address_, control};
        case place::metrics_address:
            return {address_, metrics};
        default:
            return {address_, standins::instance_callers_port};
        }
    }

    /// @return whether the ordinary request is answered with 200, at the latest
    ///         after max_wait
    [[nodiscard]] bool answers(place p, const std::string& request) const
    {
        const auto end = std::chrono::steady_clock::now() + max_wait;
        do {
            if (status_of(at(p), request) == 200)
                return true;
            std::this_thread::sleep_for(50ms);
        } while (std::chrono::steady_clock::now() < end);
        return false;
    }

    [[nodiscard]] bool lives() const { return !process_->poll(); }

    /// @return the largest resident size so far
    [[nodiscard]] std::size_t peak_resident_kb() const
    {
        return callers_test::peak_resident_kb(process_->id());
    }

    [[nodiscard]] std::size_t resident_bound_kb() const
    {
        return resident_factor * limits_.memory_mb * 1024;
    }

    [[nodiscard]] std::size_t descriptor_bound() const
    {
        return limits_.descriptors;
    }

    /// To be called often while a crowd plays.
    void sample_descriptors()
    {
        if (const auto s = process_->size())
            peak_descriptors_ = std::max(peak_descriptors_, s->descriptors);
    }
    [[nodiscard]] std::size_t peak_descriptors() const
    {
        return peak_descriptors_;
    }

private:
    void start(std::uint16_t store_port)
    {
        address_ = own_address();
        folder_ = std::filesystem::temp_directory_path() /
                  ("lovagegate-callers-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
        const std::string file = folder_ / "n0.conf";
        std::ofstream(file)
            << standins::settings_text({.name = "n0",
                                        .address = address_,
                                        .seed = address_,
                                        .store_port = store_port,
                                        .stop_grace_s = 2,
                                        .drain_ms = 1000,
                                        .first_start = true})
            << "limits.memoryMb=" << limits_.memory_mb
            << "\nlimits.fileDescriptors=" << limits_.descriptors << '\n';
        ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:detect_leaks=0", 1);
        const std::string shell_text =
            "ulimit -n " + std::to_string(limits_.system_descriptors) +
            " && exec \"$0\" gateway \"--settings=$1\"";
        process_ = std::make_unique<soak::child_process>(
            std::vector<std::string>{"/bin/sh", "-c", shell_text,
                                     LOVAGEGATE_PROGRAM, file},
            folder_ / "n0.log");
        if (!answers(place::routed_path, standins::request_text("warm-up")))
            throw soak::start_error("the gateway serves no request");
    }

    process_limits limits_;
    std::thread standins_;
    net::event_loop* loop_ = nullptr;
    std::string address_;
    std::filesystem::path folder_;
    std::unique_ptr<soak::child_process> process_;
    std::size_t peak_descriptors_ = 0;
};

} // namespace lovagegate::callers_test

#endif
