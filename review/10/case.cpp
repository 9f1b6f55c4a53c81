#include "../standin-2/machines.hpp"
#include "../standin-2/service.hpp"
#include "../standin-2/store.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <memory>
#include <set>

namespace {

using namespace review;

constexpr std::int64_t deadline_ms = 1500;
/// Mean work of a press-order in the site file.
constexpr std::int64_t work_ms = 60;
constexpr std::int64_t settle_ms = 4000;
constexpr std::size_t engine_count = 12;
constexpr std::size_t rounds = 4;
/// Dose of platform_down in the site file.
constexpr std::int64_t outage_ms = 4500;
/// From the store's return to the removal of an engine's entry. The store is
/// stable 3,000 ms after its return.
constexpr std::int64_t removal_ms[] = {3050, 3080, 3110};
/// An engine that leaves serves on for drainMs and a little longer.
constexpr std::int64_t exit_after_ms = 2080;
constexpr std::int64_t pause_ms = 1500;
constexpr std::size_t callers_of_machine = 6;

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

struct departure
{
    std::string engine;
    std::int64_t acknowledged = 0;
};

/// The engines of the service, of which some leave and others come.
class fleet
{
public:
    fleet(const machines& all, store& platform, run_log& runs)
        : all_(all), platform_(platform), runs_(runs)
    {
    }

    void add_engine()
    {
        const std::size_t number = engines_.size();
        const std::string address = all_.engine_address(number);
        engines_.push_back(std::make_unique<engine>(
            engine_address{"i-review" + std::to_string(number + 1),
                           "plate-desk",
                           {address, find_free_port({address})},
                           site().zones.at(number % 4)},
            runs_, work_ms));
        platform_.put(engines_.back()->key(), engines_.back()->entry("ready"));
    }

    /// Removes the entry of the oldest engine, which serves on for a while.
    departure let_leave(record& out)
    {
        engine& leaving = *engines_.at(left_++);
        const departure d{leaving.self().id, platform_.remove(leaving.key())};
        out.add("the store acknowledges the removal of " + d.engine);
        exits_.emplace_back([&leaving, at = d.acknowledged + exit_after_ms] {
            sleep_until_ms(at);
            leaving.exit();
        });
        return d;
    }

    void wait_for_exits()
    {
        for (auto& e : exits_)
            e.join();
        exits_.clear();
    }

private:
    const machines& all_;
    store& platform_;
    run_log& runs_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::thread> exits_;
    std::size_t left_ = 0;
};

int judge(const std::vector<departure>& departures,
          const std::vector<engine_run>& runs,
          const std::set<std::string>& failed, std::int64_t bound, record& out)
{
    std::size_t late = 0;
    std::size_t lost = 0;
    for (const auto& d : departures) {
        std::int64_t last = 0;
        for (const auto& run : runs) {
            if (run.engine != d.engine)
                continue;
            const std::int64_t after = run.arrived - d.acknowledged;
            last = std::max(last, after);
            if (after <= bound)
                continue;
            ++late;
            const bool is_lost = failed.contains(run.attempt);
            lost += is_lost ? 1U : 0U;
            out.add("request " + run.attempt + " reaches " + run.engine + " " +
                    std::to_string(after) + " ms after the ack  LATE" +
                    (is_lost ? "  LOST" : ""));
        }
        out.add("last request to " + d.engine + ": " + std::to_string(last) +
                " ms after the ack of its removal");
    }
    const std::string result =
        std::to_string(late) + " requests reached an engine later than " +
        std::to_string(bound) + " ms after the ack, " + std::to_string(lost) +
        " of these were lost as it ended; " +
        std::to_string(departures.size()) + " engines left";
    out.add(result);
    std::printf("%s\n", result.c_str());
    return late > 0 ? 1 : 0;
}

int play(const std::string& directory, record& out)
{
    machines all(site(), directory, out);
    store platform(all.store_addresses());
    run_log runs;
    fleet engines(all, platform, runs);
    for (std::size_t i = 0; i < engine_count; ++i)
        engines.add_engine();
    platform.put("op/config", config());
    for (std::size_t i = 0; i < all.count(); ++i)
        all.start(i, true);
    constexpr std::int64_t ready_timeout_ms = 15000;
    if (!all.wait_until_ready(ready_timeout_ms)) {
        out.add("not all machines became ready");
        return 2;
    }
    sleep_ms(settle_ms);

    std::atomic<bool> ended = false;
    std::atomic<std::size_t> served = 0;
    std::mutex mutex;
    std::set<std::string> failed;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < all.count() * callers_of_machine; ++i)
        callers.emplace_back([&, machine = i % all.count()] {
            constexpr std::int64_t think_ms = 2;
            while (!ended) {
                const auto a =
                    all.ask(machine, "POST", "/order/1", deadline_ms);
                served += a.status == 200 ? 1U : 0U;
                const std::lock_guard lock(mutex);
                if (a.status != 200)
                    failed.insert(a.attempt);
                sleep_ms(think_ms);
            }
        });
    std::vector<departure> departures;
    for (std::size_t round = 0; round < rounds; ++round) {
        if (has_trouble()) {
            out.add("the store goes down");
            platform.set_down(true);
        }
        sleep_ms(outage_ms);
        if (has_trouble()) {
            platform.set_down(false);
            out.add("the store is back");
        }
        const std::int64_t back = now_ms();
        for (const auto at : removal_ms) {
            sleep_until_ms(back + at);
            departures.push_back(engines.let_leave(out));
        }
        engines.wait_for_exits();
        for (std::size_t i = 0; i < std::size(removal_ms); ++i)
            engines.add_engine();
        sleep_ms(pause_ms);
    }
    ended = true;
    for (auto& c : callers)
        c.join();
    out.add(std::to_string(served) + " requests answered 200, " +
            std::to_string(failed.size()) + " otherwise");
    if (served == 0)
        return 2;
    return judge(departures, runs.all(), failed, site().drain_ms, out);
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
