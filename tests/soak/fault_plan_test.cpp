#include "soak/fault_plan.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace lovagegate;
using namespace lovagegate::soak;

namespace {

constexpr std::uint64_t seeds = 50;
constexpr std::size_t instances = 3;
constexpr std::size_t targets = 6;

std::vector<planned_fault> plan_of(std::uint64_t seed, duration length = 20s)
{
    return draw_plan({.seed = seed,
                      .length = length,
                      .instances = instances,
                      .targets = targets});
}

bool same(const planned_fault& a, const planned_fault& b)
{
    return a.at == b.at && a.what == b.what && a.whom == b.whom &&
           a.lasts == b.lasts && a.variant == b.variant;
}

} // namespace

TEST_CASE("a seed decides the whole plan", "[soak]")
{
    CHECK(std::ranges::equal(plan_of(7), plan_of(7), same));
    CHECK_FALSE(std::ranges::equal(plan_of(7), plan_of(8), same));
}

TEST_CASE("a plan is in order and leaves time at its end", "[soak]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto plan = plan_of(seed);
        CAPTURE(seed);
        CHECK(plan.size() > 3);
        CHECK(std::ranges::is_sorted(plan, {}, &planned_fault::at));
        for (const auto& f : plan) {
            CHECK(f.at >= 2s);
            CHECK(f.at + f.lasts <= 17s);
            const bool of_instance =
                f.what <= fault::pause || f.what >= fault::callers_slow;
            CHECK(f.whom < (of_instance ? instances : targets));
        }
    }
}

TEST_CASE("the plans hold faults of all kinds, and many overlap", "[soak]")
{
    std::set<fault> kinds;
    std::size_t overlapping = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto plan = plan_of(seed);
        for (std::size_t i = 0; i < plan.size(); ++i) {
            kinds.insert(plan[i].what);
            if (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].lasts)
                ++overlapping;
        }
    }
    CHECK(kinds.size() == 19);
    CHECK(overlapping > seeds);
}

TEST_CASE("a series of planned work follows a storm after a calm time",
          "[soak]")
{
    // Long enough for several series of both sorts.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        duration storm_end{};
        std::size_t in_calm = 0;
        for (const auto& f : plan_of(seed, 60s)) {
            if (!is_planned(f.what))
                storm_end = std::max(storm_end, f.at + f.lasts);
            else if (f.at > storm_end + 4s)
                ++in_calm;
        }
        CHECK(in_calm > 3);
    }
}
