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
            CHECK(f.whom < (is_of_instance(f.what) ? instances : targets));
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
    CHECK(kinds.size() == 22);
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
            else if (!is_notice(f.what) && f.at > storm_end + 4s)
                ++in_calm;
        }
        CHECK(in_calm > 3);
    }
}

TEST_CASE("faults of instances and their callers name an instance", "[soak]")
{
    using enum fault;
    for (const fault f : {stop, reload, new_config, kill, kill_all, pause,
                          callers_slow, callers_reset})
        CHECK(is_of_instance(f));
    for (const fault f : {target_reset, target_crash, store_down, store_reset,
                          target_leaves, target_turns_away})
        CHECK_FALSE(is_of_instance(f));
}

// Without these plans the soak would play notices that no rule tells apart
// from what the store says, or from those of the other kind.
TEST_CASE("notices come singly and together, and while the store is silent",
          "[soak]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        const auto plan = plan_of(seed, 60s);
        const auto count = [&](auto&& is_counted) {
            return std::ranges::count_if(plan, is_counted);
        };
        const auto one_besides = [&](const planned_fault& f, fault what) {
            return std::ranges::any_of(plan, [&](const planned_fault& other) {
                return other.what == what && other.whom == f.whom &&
                       other.at == f.at;
            });
        };
        CHECK(count([&](const planned_fault& f) {
                  return f.what == fault::target_leaves &&
                         one_besides(f, fault::target_turns_away);
              }) > 0);
        const auto alone = [&](fault what, fault other) {
            return count([&](const planned_fault& f) {
                return f.what == what && !one_besides(f, other);
            });
        };
        CHECK(alone(fault::target_leaves, fault::target_turns_away) > 0);
        CHECK(alone(fault::target_turns_away, fault::target_leaves) > 0);
        CHECK(count([&](const planned_fault& f) {
                  return f.what == fault::target_leaves &&
                         std::ranges::any_of(plan, [&](const auto& s) {
                             return s.what == fault::store_silent &&
                                    s.at <= f.at && s.lasts > 1s &&
                                    f.at + 1s < s.at + s.lasts;
                         });
              }) > 0);
    }
}
