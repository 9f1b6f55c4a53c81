#include "bench/runs.hpp"

#include "bench/process_usage.hpp"

#include <algorithm>
#include <limits>

namespace lovagegate::bench {

namespace {

using nlohmann::json;

json result_json(const load_result& r)
{
    return {{"completed", r.completed},
            {"failed", r.failed},
            {"failures", r.failures},
            {"first_token", r.first_token.summary()},
            {"token_gap", r.token_gap.summary()}};
}

json added_latency(const samples& direct, const samples& gateway)
{
    return {
        {"p50_ms", rounded(gateway.quantile(0.5) - direct.quantile(0.5))},
        {"p99_ms", rounded(gateway.quantile(0.99) - direct.quantile(0.99))}};
}

/// Runs one load until all its requests have ended.
load_result run_load(const load_options& options)
{
    net::event_loop loop;
    load_source source(loop, options, [&loop] { loop.stop(); });
    source.start();
    loop.run();
    return source.result();
}

/// Returns the resident memory of a process while the streams are open.
std::uint64_t resident_kib_with(load_options options, std::size_t streams,
                                int pid)
{
    // Responses must last longer than settle_time, so that all streams are
    // open when memory is read. The streams are then aborted.
    constexpr duration settle_time = 1500ms;
    options.streams = streams;
    options.requests = streams;
    net::event_loop loop;
    std::uint64_t resident = 0;
    load_source source(loop, options, [&loop] { loop.stop(); });
    source.start();
    loop.call_later(settle_time, [&] {
        resident = usage_of(pid).resident_kib;
        loop.stop();
    });
    loop.run();
    return resident;
}

} // namespace

json run_streams(const load_options& load, const settings::endpoint& direct)
{
    load_options direct_load = load;
    direct_load.target = direct;
    net::event_loop loop;
    int running = 2;
    const auto on_end = [&] {
        if (--running == 0) {
            loop.stop();
        }
    };
    load_source gateway_source(loop, load, on_end);
    load_source engine_source(loop, direct_load, on_end);
    gateway_source.start();
    engine_source.start();
    loop.run();
    const load_result& g = gateway_source.result();
    const load_result& d = engine_source.result();
    return {{"bench", "streams"},
            {"streams", load.streams},
            {"tokens", load.tokens},
            {"direct", result_json(d)},
            {"gateway", result_json(g)},
            {"added",
             {{"first_token", added_latency(d.first_token, g.first_token)},
              {"token_gap", added_latency(d.token_gap, g.token_gap)}}}};
}

json run_throughput(load_options load, int pid, duration length)
{
    load.requests = std::numeric_limits<std::size_t>::max();
    net::event_loop loop;
    load_source source(loop, load, [&loop] { loop.stop(); });
    const process_usage before = usage_of(pid);
    const time_point start_time = net::event_loop::now().mono;
    source.start();
    loop.call_later(length, [&source] { source.stop_sending(); });
    loop.run();
    const double elapsed_s =
        to_seconds(net::event_loop::now().mono - start_time);
    const double cpu_s = to_seconds(usage_of(pid).cpu_time - before.cpu_time);
    const load_result& r = source.result();
    const auto completed = static_cast<double>(r.completed);
    const auto tokens = static_cast<double>(r.tokens);
    return {{"bench", "throughput"},
            {"streams", load.streams},
            {"tokens_each", load.tokens},
            {"completed", r.completed},
            {"failed", r.failed},
            {"failures", r.failures},
            {"requests_per_s", rounded(completed / elapsed_s)},
            {"tokens_per_s", rounded(tokens / elapsed_s)},
            {"gateway_core_share", rounded(cpu_s / elapsed_s)},
            {"requests_per_core_s", rounded(completed / std::max(cpu_s, 0.01))},
            {"tokens_per_core_s", rounded(tokens / std::max(cpu_s, 0.01))}};
}

json run_memory(const load_options& load, int pid)
{
    const std::uint64_t idle = usage_of(pid).resident_kib;
    json sizes = json::array();
    std::uint64_t last = idle;
    for (const std::size_t divisor : {8U, 4U, 2U, 1U}) {
        const std::size_t streams = load.streams / divisor;
        last = resident_kib_with(load, streams, pid);
        sizes.push_back({{"streams", streams}, {"resident_kib", last}});
    }
    const auto first = sizes.front();
    const double growth_kib =
        static_cast<double>(last) - first["resident_kib"].get<double>();
    const double streams =
        static_cast<double>(load.streams) - first["streams"].get<double>();
    return {{"bench", "memory"},
            {"idle_resident_kib", idle},
            {"sizes", sizes},
            {"kib_per_stream", rounded(growth_kib / streams)}};
}

json run_garbage(load_options load, const garbage_options& garbage, int pid)
{
    load.requests = std::numeric_limits<std::size_t>::max();
    const auto connect_time =
        garbage.connect_interval * static_cast<duration::rep>(garbage.connects);
    const std::uint64_t before = usage_of(pid).resident_kib;
    garbage_source malformed_source(garbage);
    net::event_loop loop;
    load_source valid_source(loop, load, [&loop] { loop.stop(); });
    std::uint64_t during = 0;
    valid_source.start();
    loop.call_later(connect_time, [&] {
        during = usage_of(pid).resident_kib;
        valid_source.stop_sending();
    });
    loop.run();
    malformed_source.join();
    load.requests = 1;
    const load_result after = run_load(load);
    return {
        {"bench", "garbage"},
        {"connects", garbage.connects},
        {"connected", malformed_source.connected()},
        {"good_completed", valid_source.result().completed + after.completed},
        {"good_failed", valid_source.result().failed + after.failed},
        {"failures", valid_source.result().failures},
        {"resident_kib_before", before},
        {"resident_kib_during", during},
        {"resident_kib_after", usage_of(pid).resident_kib}};
}

} // namespace lovagegate::bench
