// Simulates fleets of several sizes and prints one JSON object per line for
// each. Arguments: the numbers of instances (default: 9 40 120 380), or `sizes`
// to print the frame sizes of the most frequent messages in bytes.
#include "fleet/cluster.hpp"
#include "lovagegate/wire/codec.hpp"
#include "lovagegate/wire/session.hpp"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace lovagegate;
using fleet::cluster;
using fleet::service_state;

constexpr ticket_number first_number = 1;
constexpr std::size_t total_adapters = 13'000;
constexpr std::size_t adapters_per_ticket = 1'000;

double cpu_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return double(t.tv_sec) + double(t.tv_nsec) * 1e-9;
}

std::string adapters_ticket(ticket_number number, std::size_t first,
                            std::size_t count)
{
    nlohmann::json adapters;
    for (std::size_t i = first; i < first + count; ++i)
        adapters["adapter-" + std::to_string(i)] = {
            {"model", "base"},
            {"versions", {std::to_string(number)}},
            {"services", {"gate"}}};
    return nlohmann::json{{"ticket", number}, {"adapters", adapters}}.dump();
}

/// Publishes the planned number of adapters and runs the fleet for 60 s to
/// let all instances apply them.
/// @return the next free ticket number
ticket_number settle(cluster& c)
{
    ticket_number number = first_number;
    for (std::size_t a = 0; a < total_adapters; a += adapters_per_ticket)
        c.publish(adapters_ticket(number++, a, adapters_per_ticket));
    c.run(60s);
    return number;
}

std::size_t ready_count(cluster& c)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < c.size(); ++i)
        n += c.at(i).view->own_phase() == protocol::phase::ready ? 1 : 0;
    return n;
}

/// Publishes a ticket and measures its propagation.
/// @return for each instance the seconds until the ticket was in force there,
/// -1 if it was not within max_time; sorted
std::vector<double> measure_propagation(cluster& c, ticket_number number,
                                        duration max_time)
{
    std::vector<double> times(c.size(), -1.0);
    c.publish(adapters_ticket(number, 0, 10));
    const time_point start = c.now().mono;
    while (c.now().mono - start < max_time) {
        c.run(cluster::step_time);
        for (std::size_t i = 0; i < c.size(); ++i)
            if (times[i] < 0 &&
                c.at(i).book->number_of(ticket::object_kind::adapter,
                                        "adapter-0") == number)
                times[i] = to_seconds(c.now().mono - start);
    }
    std::sort(times.begin(), times.end());
    return times;
}

nlohmann::json propagation_figures(cluster& c, ticket_number number)
{
    const std::vector<double> t = measure_propagation(c, number, 30s);
    return {{"p50_s", t[t.size() / 2]},
            {"max_s", t.back()},
            {"missing", std::count(t.begin(), t.end(), -1.0)}};
}

nlohmann::json steady_figures(cluster& c)
{
    constexpr duration time = 30s;
    const fleet::traffic before = c.sent();
    const double cpu_before = cpu_seconds();
    c.run(time);
    const double instance_seconds = double(c.size()) * to_seconds(time);
    const double messages =
        double(c.sent().messages - before.messages) / instance_seconds;
    const double bytes =
        double(c.sent().bytes - before.bytes) / instance_seconds;
    double min_reachable_share = 1.0;
    std::size_t usable = c.size();
    for (std::size_t i = 0; i < c.size(); ++i) {
        min_reachable_share =
            std::min(min_reachable_share, c.at(i).view->reachable_share());
        usable = std::min(usable,
                          c.at(i).view->ranked_usable("key", c.size()).size());
    }
    return {{"messages_sent_per_s", messages},
            {"frame_bytes_sent_and_received_per_s", 2 * bytes},
            {"cpu_percent_of_core",
             100 * (cpu_seconds() - cpu_before) / instance_seconds},
            {"fleet_service_calls_per_s",
             double(c.sent().service_calls - before.service_calls) /
                 to_seconds(time)},
            {"heard_share_min", min_reachable_share},
            {"usable_min", usable}};
}

void measure(std::size_t n)
{
    const std::size_t heap_before = mallinfo2().uordblks;
    cluster c(n, true);
    ticket_number number = settle(c);
    nlohmann::json line{{"instances", n}, {"ready", ready_count(c)}};
    line["heap_kb_per_instance"] =
        double(mallinfo2().uordblks - heap_before) / 1024.0 / double(n);
    line["steady"] = steady_figures(c);
    line["service_up"] = propagation_figures(c, number++);
    // The service is stale for all instances but one watcher.
    std::size_t watcher = 0;
    while (!c.at(watcher).gossip->is_watcher())
        ++watcher;
    for (std::size_t i = 0; i < n; ++i)
        if (i != watcher)
            c.set_service(i, service_state::stale);
    line["stale_but_one"] = propagation_figures(c, number++);
    // The service is down for all instances but one, which is not a watcher
    // unless all are.
    std::size_t non_watcher = 0;
    while (non_watcher + 1 < n && c.at(non_watcher).gossip->is_watcher())
        ++non_watcher;
    for (std::size_t i = 0; i < n; ++i)
        c.set_service(i, i == non_watcher ? service_state::up
                                          : service_state::down);
    const std::uint64_t calls_before = c.sent().service_calls;
    line["down_but_one"] = propagation_figures(c, number++);
    line["down_but_one"]["fleet_service_calls_per_s"] =
        double(c.sent().service_calls - calls_before) / 30.0;
    std::cout << line.dump() << std::endl;
}

nlohmann::json frame_size(const protocol::message& m)
{
    return wire::encode(m).size() + wire::frame_overhead;
}

/// Prints the frame sizes of the most frequent messages in bytes.
void print_frame_sizes()
{
    const pool_id pool("zapisnik-lm/0");
    const target_id engine("zapisnik-lm-07");
    const adapter_version adapter{"dok-rijeka-0123", "14"};
    const request_id request("0f8fad5b-d9cb-469f-a165-70867728950e");
    const std::uint64_t large_value = 0xfedcba9876543210U;
    const wall_time wall(std::chrono::milliseconds(1'790'000'000'000));
    protocol::heartbeat beat;
    beat.tickets = {2700, large_value, wall};
    beat.list_confirmed = wall;
    nlohmann::json line;
    line["heartbeat_without_sample"] = frame_size(beat);
    beat.heard.assign(160 * 5, 'A');
    line["heartbeat_with_160_heard"] = frame_size(beat);
    line["lease_request"] =
        frame_size(protocol::lease_request{123456,
                                           0,
                                           pool,
                                           adapter,
                                           priority::interactive,
                                           5s,
                                           large_value,
                                           large_value,
                                           0,
                                           {}});
    line["lease_grant"] = frame_size(protocol::lease_grant{
        123456, 0, pool, engine, 77, large_value, 1s, 3s, 1});
    line["lease_release_of_8"] = frame_size(protocol::lease_release{
        pool, std::vector<protocol::released_lease>(8, {123456, {}, 80ms})});
    line["lease_renewal_of_8"] = frame_size(protocol::lease_renewal{
        pool, std::vector<protocol::open_lease>(
                  8, {123456, engine, adapter, large_value})});
    line["claim_request"] =
        frame_size(protocol::claim_request{123456, request, wall, large_value});
    line["claim_answer_go"] = frame_size(
        protocol::claim_answer{123456, protocol::claim_verdict::go, {}});
    line["ticket_pull_of_64"] = frame_size(protocol::ticket_pull{
        std::vector<std::uint64_t>(64, large_value), 2636});
    line["suspicion_push"] = frame_size(
        protocol::suspicion_push{{{large_value, engine, large_value}}});
    std::cout << line.dump() << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc == 2 && std::string(argv[1]) == "sizes") {
        print_frame_sizes();
        return 0;
    }
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::stoul(argv[i]));
    if (sizes.empty())
        sizes = {9, 40, 120, 380};
    for (const std::size_t n : sizes)
        measure(n);
    return 0;
}
