#include "tests/pool/pool_fixture.hpp"
#include "tests/sim/site.hpp"
#include "tests/sim/world.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lovagegate;

namespace {

constexpr fingerprint crashing_fingerprint = 666;

node::adapter_load resident(const std::string& adapter)
{
    return {{adapter, "1"}, 0, 0};
}

sim::call_plan crashing_call(int number)
{
    sim::call_plan plan;
    plan.request = request_id("crashing-" + std::to_string(number));
    plan.print = crashing_fingerprint;
    plan.crashes_target = true;
    return plan;
}

} // namespace

TEST_CASE("a crash after a pause is not confused with an earlier one",
          "[quarantine]")
{
    sim::world_settings settings;
    sim::world world{settings};
    world.publish(1,
                  sim::first_ticket(settings.engines, settings.plain_targets));
    world.run_for(60s);
    constexpr std::size_t paused = 1;
    world.pause(paused);
    world.run_for(10s);
    world.crash_target(1);
    // When the paused instance resumes, it receives both calls and, between
    // them, the report of the crash.
    world.call(paused, crashing_call(1));
    world.run_for(200ms);
    world.call(2, crashing_call(2));
    world.run_for(400ms);
    world.call(paused, crashing_call(3));
    world.run_for(640ms);
    world.wake(paused);
    world.run_for(60s);
    for (const auto& v : world.checker().violations())
        FAIL_CHECK(history::describe(v));
}

TEST_CASE("no lease is granted for an engine incarnation known to have ended",
          "[quarantine]")
{
    pool::test::pool_fixture f(1, 1);
    f.become_settled_owner();
    f.report({resident("a")});
    const std::vector<protocol::suspicion> crash{
        {crashing_fingerprint, target_id("engine-0"), 1}};
    f.owner.on_suspicions(crash, f.now);
    const local_id id = f.request_lease("a");
    REQUIRE_FALSE(f.granted(id));
    CHECK(f.refused(id) == refusal::none);

    SECTION("until the engine reports its new incarnation")
    {
        node::engine_report fresh = f.make_report({resident("a")});
        fresh.start = 2;
        f.owner.on_report(fresh, f.now, f.out);
        f.complete_fencing();
        REQUIRE(f.granted(id));
        CHECK(f.sent<protocol::lease_grant>().back().target_start == 2);
    }
    SECTION("and a report requested before the crash does not count")
    {
        node::engine_report old = f.make_report({resident("a")});
        old.asked = f.now - 1s;
        f.owner.on_report(old, f.now, f.out);
        CHECK_FALSE(f.granted(id));
    }
    SECTION("but an engine that only lost a connection stays in use")
    {
        f.report({resident("a")});
        CHECK(f.granted(id));
    }
}

TEST_CASE("an owner that was paused does not grant on old reports",
          "[quarantine]")
{
    pool::test::pool_fixture f(1, 1);
    f.become_settled_owner();
    f.report({resident("a")});
    f.owner.require_reports(f.now);
    const local_id id = f.request_lease("a");
    CHECK_FALSE(f.granted(id));
    CHECK(f.refused(id) == refusal::none);
    f.report({resident("a")});
    CHECK(f.granted(id));
}

TEST_CASE("an owner that regains its pool does not grant on old reports",
          "[quarantine]")
{
    pool::test::pool_fixture f(1, 1, false);
    f.become_settled_owner();
    f.report({resident("a")});
    f.owner.set_ownership({}, f.now, f.out);
    f.now += 20s;
    f.owner.set_ownership(f.first_listed(), f.now, f.out);
    const local_id id = f.request_lease("a");
    CHECK_FALSE(f.granted(id));
    f.report({resident("a")});
    CHECK(f.granted(id));
}
