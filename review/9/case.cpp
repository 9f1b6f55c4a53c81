#include "../standin-2/machines.hpp"
#include "../standin-2/service.hpp"
#include "../standin-2/store.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <memory>

namespace {

using namespace review;

constexpr std::int64_t deadline_ms = 1500;
/// Mean work of a press-order in the site file.
constexpr std::int64_t work_ms = 60;
constexpr std::int64_t settle_ms = 7000;
/// From the loss of power to the removal of the engine's entry.
constexpr std::int64_t change_delay_ms = 150;
/// Dose of node_kill with power in the site file: two machines, 4.84 s.
constexpr std::size_t lost_machines = 2;
constexpr std::int64_t power_loss_ms = 4840;
constexpr std::int64_t observed_ms = 4500;
constexpr std::int64_t ask_interval_ms = 40;
constexpr std::size_t engine_count = 4;
/// An engine that leaves serves on for drainMs and a little longer.
constexpr std::int64_t exit_after_ms = 2600;

site_settings site()
{
    // Eight machines and the spare one of each zone.
    return {{"kochi-a", "kochi-b", "thrissur", "kozhikode"}, {4, 3, 2, 3}};
}

/// Machines that are added after the start, the last one of each zone.
bool is_spare(std::size_t machine)
{
    return machine == 3 || machine == 6 || machine == 8 || machine == 11;
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

/// Sends orders to one machine until the given time.
void order_until(const machines& all, std::size_t machine, std::int64_t end,
                 std::vector<caller_answer>& out)
{
    while (now_ms() < end) {
        const std::int64_t next = now_ms() + ask_interval_ms;
        out.push_back(all.ask(machine, "POST", "/order/1", deadline_ms));
        sleep_until_ms(next);
    }
}

int judge(const std::vector<std::vector<caller_answer>>& orders,
          const std::vector<engine_run>& runs, const std::string& leaving,
          std::int64_t acknowledged, record& out)
{
    const std::int64_t bound = site().drain_ms;
    std::size_t late = 0;
    std::size_t lost = 0;
    std::size_t all = 0;
    for (const auto& of_machine : orders)
        for (const auto& a : of_machine) {
            ++all;
            const auto run =
                std::ranges::find(runs, a.attempt, &engine_run::attempt);
            if (run == runs.end() || run->engine != leaving)
                continue;
            const std::int64_t after = run->arrived - acknowledged;
            const bool is_late = after > bound;
            const bool is_lost = is_late && a.status != 200;
            late += is_late ? 1U : 0U;
            lost += is_lost ? 1U : 0U;
            out.add("order " + a.attempt + " by machine " +
                    std::to_string(a.machine + 1) + " reaches " + leaving +
                    " " + std::to_string(after) +
                    " ms after the ack, the caller gets " +
                    (a.status == 0 ? std::string("no answer")
                                   : std::to_string(a.status)) +
                    (is_late ? "  LATE" : "") + (is_lost ? "  LOST" : ""));
        }
    const std::string result =
        std::to_string(late) + " of " + std::to_string(all) +
        " orders reached the engine later than " + std::to_string(bound) +
        " ms after the ack of its removal; " + std::to_string(lost) +
        " of these were lost as it ended";
    out.add(result);
    std::printf("%s\n", result.c_str());
    if (all == 0)
        return 2;
    return late > 0 ? 1 : 0;
}

int play(const std::string& directory, record& out)
{
    machines all(site(), directory, out);
    store platform(all.store_addresses());
    run_log runs;
    std::vector<std::unique_ptr<engine>> engines;
    for (std::size_t i = 0; i < engine_count; ++i) {
        const std::string address = all.engine_address(i);
        engines.push_back(std::make_unique<engine>(
            engine_address{"i-review" + std::to_string(i + 1),
                           "plate-desk",
                           {address, find_free_port({address})},
                           site().zones.at(i)},
            runs, work_ms));
        platform.put(engines.back()->key(), engines.back()->entry("ready"));
    }
    platform.put("op/config", config());
    for (std::size_t i = 0; i < all.count(); ++i)
        if (!is_spare(i))
            all.start(i, true);
    sleep_ms(2000);
    for (std::size_t i = 0; i < all.count(); ++i)
        if (is_spare(i))
            all.start(i, false);
    constexpr std::int64_t ready_timeout_ms = 15000;
    if (!all.wait_until_ready(ready_timeout_ms)) {
        out.add("not all machines became ready");
        return 2;
    }
    sleep_ms(settle_ms);

    auto lost = platform.watching_machines();
    for (const auto m : lost)
        out.add("machine " + std::to_string(m + 1) + " reads the store");
    if (lost.empty() || lost.size() > lost_machines) {
        out.add("expected one or two readers of the store, found " +
                std::to_string(lost.size()));
        return 2;
    }
    if (has_trouble())
        for (const auto m : lost)
            all.kill(m);
    sleep_ms(change_delay_ms);
    engine& leaving = *engines.front();
    const std::int64_t acknowledged = platform.remove(leaving.key());
    out.add("the store acknowledges the removal of " + leaving.self().id);

    std::vector<std::vector<caller_answer>> orders(all.count());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < all.count(); ++i)
        if (std::ranges::find(lost, i) == lost.end())
            callers.emplace_back([&, i] {
                order_until(all, i, acknowledged + observed_ms, orders[i]);
            });
    sleep_until_ms(acknowledged + exit_after_ms);
    leaving.exit();
    out.add(leaving.self().id + " ends");
    if (has_trouble()) {
        sleep_until_ms(acknowledged - change_delay_ms + power_loss_ms);
        for (const auto m : lost)
            all.start(m, false);
    }
    for (auto& c : callers)
        c.join();
    return judge(orders, runs.all(), leaving.self().id, acknowledged, out);
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
