#include "../standin-2/crashing_engine.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <limits>
#include <memory>
#include <random>

namespace {

using namespace review;

constexpr std::int64_t deadline_ms = 3000;
/// Mean work of a press-order in the site file.
constexpr std::int64_t work_ms = 60;
constexpr std::int64_t down_ms = 2500;
constexpr std::size_t engine_count = 4;
constexpr std::size_t crash_limit = 3;
constexpr const char* crashing_path = "/order/bad";
constexpr const char* sound_path = "/order/1";
/// Dose of roll_term in the site file: all machines, one after the other.
constexpr std::int64_t restart_gap_ms = 1300;
/// The crashing request comes again at this interval, at any machine.
constexpr std::int64_t repetition_ms = 300;
constexpr std::int64_t after_roll_ms = 15000;

site_settings site()
{
    return {{"kochi-a", "kochi-b", "thrissur", "kozhikode"}, {3, 2, 1, 2}};
}

std::string config()
{
    return R"({"version":3,"routes":[{"name":"orders",)"
           R"("host":"review.example","prefix":"/order/",)"
           R"("kind":"non_idempotent","timeoutMs":4000,)"
           R"("targetLatencyMs":300,"priority":2,"service":"plate-desk",)"
           R"("maxAttempts":1}],)"
           R"("services":[{"name":"plate-desk","maxConnections":110}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
           R"("headerTimeoutMs":5000,"idleTimeoutMs":5000}})";
}

class fleet
{
public:
    fleet(const machines& all, store& platform, run_log& runs)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            const std::string address = all.engine_address(i);
            engines_.push_back(std::make_unique<crashing_engine>(
                engine_address{"i-review" + std::to_string(i + 1),
                               "plate-desk",
                               {address, find_free_port({address})},
                               site().zones.at(i)},
                crashing_path, work_ms, down_ms, platform, runs));
        }
    }

    /// Waits until all engines are back and known to be.
    void wait_until_up() const
    {
        constexpr std::int64_t news_ms = 700;
        for (const auto& e : engines_)
            while (!e->is_up())
                sleep_ms(1);
        sleep_ms(news_ms);
    }

private:
    std::vector<std::unique_ptr<crashing_engine>> engines_;
};

bool has_run(const run_log& runs, const std::string& attempt)
{
    const auto all = runs.all();
    return std::ranges::find(all, attempt, &engine_run::attempt) != all.end();
}

/// Sends the crashing request.
/// @return whether it has reached an engine
bool send_crashing(const machines& all, std::size_t machine,
                   const run_log& runs, record& out)
{
    const auto a = all.ask(machine, "POST", crashing_path, deadline_ms);
    const bool ran = has_run(runs, a.attempt);
    out.add("the crashing request, " + a.attempt + ", at machine " +
            std::to_string(machine + 1) + ": " + std::to_string(a.status) +
            (ran ? ", an engine crashes" : ", not sent to an engine"));
    return ran;
}

int play(const std::string& directory, record& out)
{
    machines all(site(), directory, out);
    store platform(all.store_addresses());
    run_log runs;
    const fleet engines(all, platform, runs);
    platform.put("op/config", config());
    for (std::size_t i = 0; i < all.count(); ++i)
        all.start(i, true);
    constexpr std::int64_t ready_timeout_ms = 15000;
    if (!all.wait_until_ready(ready_timeout_ms)) {
        out.add("not all machines became ready");
        return 2;
    }
    sleep_ms(site().stable_window_ms);

    // The request crashes engines until the machines have learnt of it.
    std::size_t crashes = 0;
    constexpr std::size_t most_crashes = 8;
    for (std::size_t i = 0; i < most_crashes; ++i) {
        engines.wait_until_up();
        crashes += send_crashing(all, i % all.count(), runs, out) ? 1U : 0U;
    }
    engines.wait_until_up();
    const std::int64_t learnt = now_ms() + site().stable_window_ms;
    sleep_until_ms(learnt);
    out.add("the request has crashed " + std::to_string(crashes) +
            " engines; " + std::to_string(site().stable_window_ms) +
            " ms have passed");
    if (crashes < crash_limit)
        return 2;

    std::atomic<bool> ended = false;
    std::atomic<std::size_t> served = 0;
    std::atomic<std::size_t> lost = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < all.count(); ++i)
        callers.emplace_back([&, i] {
            constexpr std::int64_t think_ms = 20;
            while (!ended) {
                const auto a = all.ask(i, "POST", sound_path, deadline_ms);
                const bool is_lost =
                    a.status != 200 && has_run(runs, a.attempt);
                if (is_lost)
                    out.add("sound order " + a.attempt + " at machine " +
                            std::to_string(i + 1) +
                            " ran at an engine that crashed, the caller gets " +
                            std::to_string(a.status));
                served += a.status == 200 ? 1U : 0U;
                lost += is_lost ? 1U : 0U;
                sleep_ms(think_ms);
            }
        });
    // A machine is in touch when it has run for the stable window.
    std::vector<std::atomic<std::int64_t>> in_touch_from(all.count());
    std::atomic<bool> rolled = false;
    std::thread roll([&] {
        for (std::size_t i = 0; has_trouble() && i < all.count(); ++i) {
            in_touch_from[i] = std::numeric_limits<std::int64_t>::max();
            all.terminate(i);
            all.start(i, false);
            in_touch_from[i] = now_ms() + site().stable_window_ms;
            sleep_ms(restart_gap_ms);
        }
        sleep_ms(after_roll_ms);
        rolled = true;
    });
    std::size_t late = 0;
    std::size_t out_of_touch = 0;
    std::mt19937 random(1);
    while (!rolled) {
        const std::size_t machine = random() % all.count();
        const bool in_touch = now_ms() >= in_touch_from[machine];
        if (send_crashing(all, machine, runs, out))
            ++(in_touch ? late : out_of_touch);
        sleep_ms(repetition_ms);
    }
    roll.join();
    ended = true;
    for (auto& c : callers)
        c.join();
    const std::string result =
        "the request reached engines " + std::to_string(late) +
        " times later than the window after its third crash, sent by "
        "machines in touch, and " +
        std::to_string(out_of_touch) + " times by others; " +
        std::to_string(lost) + " sound orders were lost, " +
        std::to_string(served) + " served";
    out.add(result);
    std::printf("%s\n", result.c_str());
    constexpr std::size_t allowed = 3;
    return late > allowed ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int cannot_run = 2;
    if (argc != 2)
        return cannot_run;
    try {
        record out(argv[1]);
        const std::string directory = make_directory();
        const int result = play(directory, out);
        std::filesystem::remove_all(directory);
        return result;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return cannot_run;
    }
}
