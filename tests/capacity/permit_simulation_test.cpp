#include "permit_simulation.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lovagegate;
using namespace lovagegate::capacity;

namespace {

constexpr double capacity_per_second = 300; // 18 slots of 60 ms

simulation_settings with_load(double load, bool permits = true)
{
    simulation_settings s;
    s.permits = permits;
    // Sixteen workspaces of different size; postings and look-ups.
    double weights = 0;
    for (std::uint64_t w = 1; w <= 16; ++w)
        weights += static_cast<double>(w);
    for (std::uint64_t w = 1; w <= 16; ++w) {
        const double rate =
            load * capacity_per_second * static_cast<double>(w) / weights;
        s.demands.push_back({0.8 * rate, w, 1, 1});
        s.demands.push_back({0.2 * rate, w, 2, 1});
    }
    return s;
}

service_count measure(permit_simulation& sim, duration warm_up = 5s,
                      duration length = 15s)
{
    sim.run(warm_up);
    sim.reset_counts();
    sim.run(length);
    auto c = sim.total();
    std::cout << "  requests " << c.requests << ", in time "
              << c.share_in_time() << ", late " << c.late << ", refused "
              << c.refused << ", p50 " << to_ms(c.quantile(0.5)) << " ms, p99 "
              << to_ms(c.quantile(0.99)) << " ms, datagrams per request "
              << static_cast<double>(sim.datagrams) /
                     static_cast<double>(std::max<std::size_t>(1, c.requests))
              << ", rejections by targets " << sim.rejections << '\n';
    return c;
}

} // namespace

// Guards against instances that guess each on its own: at 0.9 of the capacity
// some targets queue while others are idle.
TEST_CASE("under nine tenths of the capacity nothing is refused or late",
          "[capacity]")
{
    for (const double load : {0.6, 0.88}) {
        std::cout << "load " << load << '\n';
        permit_simulation sim(with_load(load));
        auto c = measure(sim);
        CHECK(c.refused == 0);
        CHECK(c.quantile(0.99) < 300ms);
        CHECK(sim.rejections == 0);
        CHECK(sim.double_runs == 0);
    }
}

// Guards against queues in which all requests become late: those that are
// served must be in time, and the targets must not idle.
TEST_CASE("above the capacity as many as possible are served in time",
          "[capacity]")
{
    for (const double load : {1.1, 1.3, 1.5}) {
        std::cout << "load " << load << '\n';
        permit_simulation sim(with_load(load));
        const auto c = measure(sim);
        CHECK(c.share_in_time() * load > 0.93);
        CHECK(sim.double_runs == 0);
        std::cout << "  without permits:\n";
        permit_simulation alone(with_load(load, false));
        measure(alone);
    }
}

// Guards against targets that idle while instances with little of a core are
// slow to give permits back.
TEST_CASE("slow instances cost little of the capacity", "[capacity]")
{
    simulation_settings s = with_load(1.2);
    s.slow_instances = 0.6;
    s.slow_delay = 80ms;
    permit_simulation sim(s);
    const auto c = measure(sim);
    CHECK((c.share_in_time() * 1.2) > 0.93);
}

// Guards against a service with enough capacity that pays for the detour.
TEST_CASE("permits of a service with little use aren't asked for", "[capacity]")
{
    simulation_settings s;
    s.run_time = 15ms;
    s.objective = 100ms;
    s.demands = {{160, 0, 1, 0}, {60, 0, 2, 0}};
    permit_simulation sim(s);
    sim.run(5s);
    sim.reset_counts();
    auto c = measure(sim, 0s);
    CHECK(c.refused == 0);
    CHECK(c.late == 0);
    CHECK(c.quantile(0.99) < 30ms);
    CHECK(static_cast<double>(sim.datagrams) <
          1.0 * static_cast<double>(c.requests));
}

// Guards against a workspace with six times its usual demand that takes the
// service of the others.
TEST_CASE("only the workspace that surges is refused more", "[capacity]")
{
    simulation_settings s;
    for (std::uint64_t w = 1; w <= 16; ++w)
        s.demands.push_back({w == 3 ? 24.0 : 16.0, w, 1, 1});
    s.demands[2].surge = 6;
    s.demands[2].surge_from = 21s;
    s.demands[2].surge_to = 60s;
    permit_simulation sim(s);
    sim.run(22s);
    sim.reset_counts();
    sim.run(15s);
    const double all = sim.total().share_in_time();
    double others = 0;
    for (std::uint64_t w = 1; w <= 16; ++w) {
        const double share = sim.of_workspace(w).share_in_time();
        std::cout << "  workspace " << w << ": " << share << '\n';
        // Some 240 requests each; all of the others are judged below.
        CHECK(share > (w == 3 ? 0.25 * all : 0.85));
        if (w != 3)
            others += share / 15;
    }
    CHECK(others > 0.95);
    CHECK(all > 0.75); // 300 of 384 are 0.78
}

// Guards against a kind with 2.4 times its usual demand that takes the service
// of the other kind.
TEST_CASE("only the kind that surges is refused more", "[capacity]")
{
    simulation_settings s;
    s.demands = {{160, 0, 1, 1}, {37, 0, 2, 1}};
    s.demands[0].surge = 2.4;
    s.demands[0].surge_from = 21s;
    s.demands[0].surge_to = 60s;
    permit_simulation sim(s);
    sim.run(22s);
    sim.reset_counts();
    sim.run(15s);
    std::cout << "  kinds: " << sim.of_kind(1).share_in_time() << ", "
              << sim.of_kind(2).share_in_time() << '\n';
    CHECK(sim.of_kind(2).share_in_time() > 0.9);
    CHECK(sim.of_kind(1).share_in_time() > 0.62); // 263 of 384 are 0.68
}
