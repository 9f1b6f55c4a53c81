#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::pool;
using lovagegate::pool::test::pool_fixture;

namespace {

node::adapter_load held(const std::string& adapter, std::uint32_t running = 0)
{
    return {{adapter, "1"}, running, 0};
}

/// One engine with one slot, which holds "a" with an open lease.
struct one_slot : pool_fixture
{
    local_id first = 0;

    explicit one_slot(bool checks_fencing = true)
        : pool_fixture(1, 1, checks_fencing)
    {
        become_settled_owner();
        first = request_lease("a");
        complete_orders();
        REQUIRE(granted(first));
    }
};

} // namespace

TEST_CASE("an adapter with an open lease is never evicted", "[pool]")
{
    one_slot f;
    f.request_lease("b");
    CHECK(f.evictions() == 0);
    f.release(f.first);
    f.advance(50ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("an expired lease blocks eviction until a newer report", "[pool]")
{
    one_slot f;
    f.request_lease("b");
    f.advance(f.settings.lease.ttl + 1s);
    CHECK(f.counts.count("leases_expired") == 1);
    f.report({held("a")}); // the report may have been created before the expiry
    f.advance(1ms);
    CHECK(f.evictions() == 0);
    f.advance(f.settings.lease.report_lag);
    f.report({held("a", 1)}); // the request still runs
    f.advance(50ms);
    CHECK(f.evictions() == 0);
    f.advance(50ms);
    f.report({held("a")});
    f.advance(50ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("a failed request blocks eviction until a newer report", "[pool]")
{
    one_slot f;
    f.request_lease("b");
    f.release(f.first, protocol::lease_end::failed);
    CHECK(f.evictions() == 0);
    f.advance(f.settings.lease.report_lag);
    f.report({held("a")});
    f.advance(50ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("work that no lease explains blocks eviction", "[pool]")
{
    one_slot f;
    f.release(f.first);
    f.advance(f.settings.lease.report_lag);
    f.report({held("a", 1)});
    f.request_lease("b");
    CHECK(f.evictions() == 0);
    f.advance(1s);
    f.report({held("a")});
    f.advance(200ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("a new owner evicts nothing while earlier owners' leases may be open",
          "[pool]")
{
    pool_fixture f;
    f.owner.set_ownership(f.first_listed(), f.now, f.out);
    f.report({held("a")});
    const local_id on_resident = f.request_lease("a");
    CHECK(f.granted(on_resident));
    f.release(on_resident);
    f.request_lease("b");
    f.advance(f.settings.lease.ttl + f.settings.lease.list_lag - 1s);
    f.report({held("a")});
    CHECK(f.evictions() == 0);
    f.advance(1s + f.settings.lease.report_lag);
    f.report({held("a")});
    f.advance(200ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("a lease of the earlier owner is registered by its renewal", "[pool]")
{
    pool_fixture f;
    f.owner.set_ownership(f.first_listed(), f.now, f.out);
    f.report({held("a")});
    protocol::lease_renewal renewal;
    renewal.pool = pool_id("lm#0");
    renewal.leases.push_back({77, target_id("engine-0"), {"a", "1"}, 0});
    f.request_lease("b", priority::interactive, 0, 600s);
    for (int i = 0; i < 20; ++i) {
        f.owner.on_renewal(f.entry_instance, renewal, f.now, f.out);
        f.advance(2s);
        f.report({held("a", 0)}); // a report may not show the request yet
        CHECK(f.evictions() == 0);
    }
    f.release(77);
    f.advance(200ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("without fencing only the first instance of a fresh list evicts",
          "[pool]")
{
    one_slot f(false);
    f.release(f.first);
    ownership role = f.owner.state().role;
    SECTION("a stale list")
    {
        f.now += f.settings.lease.list_fresh + 1s;
    }
    SECTION("a list that names another instance first")
    {
        role.first_listed = false;
        f.owner.set_ownership(role, f.now, f.out);
    }
    const local_id b = f.request_lease("b");
    CHECK(f.evictions() == 0);
    CHECK_FALSE(f.granted(b));
    f.now += 50ms;
    role.first_listed = true;
    role.list_read = f.now;
    f.owner.set_ownership(role, f.now, f.out);
    f.owner.tick(f.now, f.out);
    CHECK(f.evictions() == 1);
}

TEST_CASE("during a partition an eviction needs a recent report", "[pool]")
{
    one_slot f;
    f.release(f.first);
    ownership role = f.owner.state().role;
    role.all_reachable = false;
    role.list_read = f.now;
    f.owner.set_ownership(role, f.now, f.out);
    f.request_lease("b");
    CHECK(f.evictions() == 0);
    f.advance(1s);
    bool polled = false;
    for (const node::output& o : f.out)
        polled = polled || std::holds_alternative<node::poll_engine>(o);
    CHECK(polled);
    f.report({held("a")});
    f.advance(200ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("during a partition nothing is evicted from engines without fencing",
          "[pool]")
{
    one_slot f(false);
    f.release(f.first);
    ownership role = f.owner.state().role;
    role.all_reachable = false;
    f.owner.set_ownership(role, f.now, f.out);
    f.request_lease("b");
    for (int i = 0; i < 20; ++i) {
        f.advance(100ms);
        f.report({held("a")});
        CHECK(f.evictions() == 0);
    }
}

TEST_CASE("an engine that checks tokens gets no lease before it accepts one",
          "[pool]")
{
    pool_fixture f;
    f.completes_fencing = false;
    f.owner.set_ownership(f.first_listed(), f.now, f.out);
    f.report({held("a")});
    const local_id resident = f.request_lease("a");
    CHECK_FALSE(f.granted(resident));
    CHECK(f.complete_fencing(node::order_end::failed) == 1);
    CHECK_FALSE(f.granted(resident));
    f.advance(3s);
    CHECK(f.complete_fencing() == 1);
    CHECK(f.granted(resident));
}

TEST_CASE("an owner that is not first listed waits on engines without fencing",
          "[pool]")
{
    pool_fixture f(1, 1, false);
    ownership role = f.first_listed();
    role.first_listed = false;
    f.owner.set_ownership(role, f.now, f.out);
    f.report({held("a")});
    const local_id resident = f.request_lease("a");
    f.advance(f.settings.lease.first_listed_wait - 1s);
    CHECK_FALSE(f.granted(resident));
    f.advance(1s);
    CHECK(f.granted(resident));
}

TEST_CASE("orders carry a token above the highest that the engine reported",
          "[pool]")
{
    pool_fixture f;
    f.owner.set_ownership(f.first_listed(), f.now, f.out);
    auto report = f.make_report({});
    report.highest_token = 41;
    f.owner.on_report(report, f.now, f.out);
    f.request_lease("a");
    f.permit_all();
    const auto orders = f.take_orders();
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().token == 42);
}

TEST_CASE("a first listed owner raises a rejected token and waits again",
          "[pool]")
{
    one_slot f;
    f.release(f.first);
    f.request_lease("b", priority::interactive, 0, 600s);
    f.permit_all();
    const auto orders = f.take_orders();
    REQUIRE(orders.size() == 1);
    f.owner.on_order_ended(
        {orders[0].target, orders[0].order, node::order_end::stale_token, 90},
        f.now, f.out);
    f.advance(1s);
    CHECK(f.evictions() == 0);
    f.advance(predecessor_leases_end(f.now, f.settings.lease) - f.now);
    f.advance(f.settings.lease.report_lag);
    f.report({held("a")});
    f.advance(200ms);
    f.permit_all();
    const auto later = f.take_orders();
    REQUIRE(later.size() == 1);
    CHECK(later[0].token == 91);
}

TEST_CASE("an owner that is not first listed stops orders at a higher token",
          "[pool]")
{
    one_slot f;
    f.release(f.first);
    ownership role = f.owner.state().role;
    role.first_listed = false;
    f.owner.set_ownership(role, f.now, f.out);
    auto report = f.make_report({held("a")});
    report.highest_token = 90;
    f.owner.on_report(report, f.now, f.out);
    f.request_lease("b", priority::interactive, 0, 600s);
    for (int i = 0; i < 60; ++i) {
        f.advance(1s);
        f.permit_all();
        CHECK(f.take_orders().empty());
    }
    // The owner with the higher token does not know this owner's leases.
    const local_id resident = f.request_lease("a");
    CHECK_FALSE(f.granted(resident));
}

TEST_CASE("after a complete handover the next owner does not wait for leases",
          "[pool]")
{
    one_slot before;
    const auto handover = before.owner.handover(before.now);
    CHECK(handover.complete);
    pool_fixture f;
    f.now = before.now;
    f.next_id = 100;
    f.owner.on_handover({instance_id("owner-0"), 1}, handover, f.now, f.out);
    f.owner.set_ownership(f.first_listed(), f.now, f.out);
    f.advance(f.settings.lease.report_lag);
    f.report({held("a", 1)});
    f.request_lease("b");
    CHECK(f.evictions() == 0); // the lease that was handed over is open
    f.release(before.first);
    f.advance(f.settings.lease.report_lag);
    f.report({held("a")});
    f.advance(200ms);
    CHECK(f.evictions() == 1);
}

TEST_CASE("a restart of an engine ends its leases and empties its slots",
          "[pool]")
{
    one_slot f;
    auto report = f.make_report({});
    report.start = 2;
    f.owner.on_report(report, f.now, f.out);
    CHECK(f.owner.state().leases.size() == 0);
    f.out.clear();
    const local_id again = f.request_lease("a");
    CHECK_FALSE(f.granted(again));
    f.complete_orders();
    CHECK(f.granted(again));
}

TEST_CASE("a grant names the run of its engine", "[pool]")
{
    one_slot f;
    const auto grants = f.sent<protocol::lease_grant>();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].target_start == 1);
}
