#include "proof/cost.hpp"

#include "lovagegate/node/node.hpp"

#include <ctime>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace lovagegate::proof {

namespace {

using nlohmann::json;

constexpr std::size_t planned_instances = 380;
constexpr std::size_t planned_engines = 1000;
constexpr std::size_t planned_adapters = 13'000;
constexpr std::size_t model_count = 5;
constexpr std::size_t objects_per_ticket = 1000;

double process_cpu_us()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return double(t.tv_sec) * 1e6 + double(t.tv_nsec) * 1e-3;
}

double allocated_heap_kb()
{
    return double(mallinfo2().uordblks) / 1024.0;
}

instant instant_at(duration since_start)
{
    return {time_point(since_start),
            wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
                since_start))};
}

std::string group_name(std::size_t i)
{
    return "engines-" + std::to_string(i % model_count);
}

json engine_json(std::size_t i)
{
    return {{"group", group_name(i)},
            {"address", "127.0.0.1"},
            {"port", 1 + i % 60'000},
            {"failure_domain", "d" + std::to_string(i % 11)},
            {"model", "base-" + std::to_string(i % model_count)},
            {"slots", 8}};
}

/// Returns tickets that declare a deployment: one with its services, engines
/// and store, then its adapters in tickets of up to objects_per_ticket.
std::vector<std::string> deployment_tickets(std::size_t engines,
                                            std::size_t adapters)
{
    json first{{"ticket", 1}};
    for (std::size_t m = 0; m < model_count; ++m)
        first["services"]["s" + std::to_string(m)] = {{"group", group_name(m)}};
    for (std::size_t e = 0; e < engines; ++e)
        first["targets"]["e" + std::to_string(e)] = engine_json(e);
    first["stores"]["weights"] = {{"loads_per_second", 4}};
    std::vector<std::string> all{first.dump()};
    for (std::size_t a = 0; a < adapters; a += objects_per_ticket) {
        json t{{"ticket", 2 + a}};
        for (std::size_t i = a; i < std::min(adapters, a + objects_per_ticket);
             ++i)
            t["adapters"]["adapter-" + std::to_string(i)] = {
                {"model", "base-" + std::to_string(i % model_count)},
                {"versions", {"1"}},
                {"services", {"s" + std::to_string(i % model_count)}}};
        all.push_back(t.dump());
    }
    return all;
}

node::instance_list instances(std::size_t n)
{
    node::instance_list list;
    list.index = 1;
    for (std::size_t i = 0; i < n; ++i)
        list.instances.push_back(
            {instance_id("i" + std::to_string(i)), "127.0.0.1", 9000,
             failure_domain("d" + std::to_string(i % 11)), false});
    return list;
}

/// Measures one instance that has the full instance list but receives no
/// messages from the other instances.
void measure_node(std::size_t instance_count, std::size_t engines,
                  std::size_t adapters)
{
    const double before = allocated_heap_kb();
    node::outbox out;
    auto n = std::make_unique<node::node>(
        node::node_settings{}, instance_id("i0"), 1, 1, instant_at(1s));
    node::instance_list list = instances(instance_count);
    list.asked = instant_at(1s);
    n->step(list, instant_at(1s), out);
    const double load_start = process_cpu_us();
    n->step(node::published_tickets{1, deployment_tickets(engines, adapters)},
            instant_at(1s), out);
    const double load_us = process_cpu_us() - load_start;
    duration now = 1s;
    const auto run = [&](std::size_t ticks) {
        for (std::size_t t = 0; t < ticks; ++t) {
            now += node::tick_interval;
            out.clear();
            n->step(node::tick{}, instant_at(now), out);
        }
    };
    run(40);
    const double start = process_cpu_us();
    constexpr std::size_t ticks = 200;
    run(ticks);
    const double per_tick = (process_cpu_us() - start) / double(ticks);
    const std::size_t owned = n->status().owned.size();
    const json line{{"role", "node"},
                    {"instances", instance_count},
                    {"engines", engines},
                    {"adapters", adapters},
                    {"heap_kb", allocated_heap_kb() - before},
                    {"apply_all_tickets_us", load_us},
                    {"tick_us", per_tick},
                    {"idle_cpu_percent", per_tick * 20 / 1e4},
                    {"pools_owned", owned}};
    std::cout << line.dump() << std::endl;
}

void measure_claims(std::size_t records)
{
    counters count;
    membership::view view(instance_id("i0"), {}, count, 1);
    node::instance_list list = instances(1);
    for (duration t = 1s; t <= 100s; t += 5s) {
        list.asked = instant_at(t);
        view.on_list(list, instant_at(t));
    }
    idempotency::claim_settings settings;
    settings.max_records = records;
    const double before = allocated_heap_kb();
    idempotency::claim_home home(instance_id("i0"), settings, count);
    node::outbox out;
    const double start = process_cpu_us();
    for (std::size_t i = 0; i < records; ++i) {
        out.clear();
        home.on_claim({instance_id("i1"), 1},
                      {i, request_id("sign-off-" + std::to_string(i)),
                       instant_at(90s).wall, i},
                      instant_at(100s), view, out);
    }
    const double us = (process_cpu_us() - start) / double(records);
    out = {};
    const json line{{"role", "request_ids"},
                    {"records", records},
                    {"bytes_per_record",
                     (allocated_heap_kb() - before) * 1024.0 / double(records)},
                    {"claim_us", us},
                    {"kept", home.size()}};
    std::cout << line.dump() << std::endl;
}

void measure_quarantine(std::size_t fingerprints)
{
    counters count;
    quarantine::quarantine_settings settings;
    settings.max_fingerprints = fingerprints;
    const double before = allocated_heap_kb();
    quarantine::crash_register crashes(settings, count);
    const double start = process_cpu_us();
    for (std::size_t i = 0; i < fingerprints; ++i)
        for (incarnation run = 1; run <= 2; ++run)
            crashes.on_crash(
                {i + 1, target_id("e" + std::to_string(i % planned_engines)),
                 run},
                instant_at(1s).mono);
    const double us = (process_cpu_us() - start) / double(2 * fingerprints);
    const json line{{"role", "quarantine"},
                    {"prints", fingerprints},
                    {"bytes_per_print", (allocated_heap_kb() - before) *
                                            1024.0 / double(fingerprints)},
                    {"crash_us", us}};
    std::cout << line.dump() << std::endl;
}

/// Measures a permit node that receives requests with two wants from each pool.
void measure_permits(std::size_t pools)
{
    counters count;
    permits::permit_node permits("weights", instance_id("i0"), {}, count);
    permits.set_role(true, instant_at(1s).mono);
    const double before = allocated_heap_kb();
    node::outbox out;
    constexpr std::size_t rounds = 200;
    const double start = process_cpu_us();
    for (std::size_t r = 0; r < rounds; ++r) {
        for (std::size_t p = 0; p < pools; ++p) {
            protocol::permit_request request;
            request.store = "weights";
            request.pool = pool_id("p" + std::to_string(p));
            request.wants.resize(2);
            request.wants[0].id = 2 * r + 1;
            request.wants[1].id = 2 * r + 2;
            out.clear();
            permits.on_permit_request({instance_id("i1"), 1}, request,
                                      instant_at(1s + r * 10ms).mono, out);
        }
    }
    const double us = (process_cpu_us() - start) / double(rounds * pools);
    const json line{{"role", "permits"},
                    {"pools", pools},
                    {"heap_kb", allocated_heap_kb() - before},
                    {"request_us", us}};
    std::cout << line.dump() << std::endl;
}

} // namespace

void print_costs()
{
    for (const std::size_t a : {1625, 3250, 6500, 13'000})
        measure_node(planned_instances, planned_engines, a);
    for (const std::size_t e : {125, 250, 500, 1000})
        measure_node(planned_instances, e, planned_adapters);
    for (const std::size_t i : {9, 48, 95, 190, 380})
        measure_node(i, planned_engines, planned_adapters);
    for (const std::size_t r : {8192, 16'384, 32'768, 65'536})
        measure_claims(r);
    for (const std::size_t p : {512, 1024, 2048, 4096})
        measure_quarantine(p);
    for (const std::size_t p : {8, 16, 32, 63})
        measure_permits(p);
}

} // namespace lovagegate::proof
