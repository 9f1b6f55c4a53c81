#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::pool;
using lovagegate::pool::test::pool_fixture;

namespace {

node::adapter_load held(const std::string& adapter)
{
    return {{adapter, "1"}, 0, 0};
}

} // namespace

TEST_CASE("one load serves all requests that wait for its adapter", "[pool]")
{
    pool_fixture f(1, 1, false);
    f.become_settled_owner();
    const local_id first = f.request_lease("a");
    const local_id second = f.request_lease("a");
    f.permit_all();
    const local_id third = f.request_lease("a");
    f.permit_all();
    const auto orders = f.take_orders();
    REQUIRE(orders.size() == 1);
    f.owner.on_order_ended(
        {orders[0].target, orders[0].order, node::order_end::done, 0}, f.now,
        f.out);
    CHECK(f.granted(first));
    CHECK(f.granted(second));
    CHECK(f.granted(third));
}

TEST_CASE("a repeated lease request gets the same lease", "[pool]")
{
    pool_fixture f;
    f.become_settled_owner();
    f.report({held("a")});
    const local_id id = f.request_lease("a");
    --f.next_id;
    CHECK(f.request_lease("a") == id);
    CHECK(f.owner.state().leases.size() == 1);
}

TEST_CASE("an instance that is not owner refuses without queueing", "[pool]")
{
    pool_fixture f;
    f.become_settled_owner();
    const local_id waiting = f.request_lease("b");
    f.owner.set_ownership({}, f.now, f.out);
    CHECK(f.refused(waiting) == refusal::owner_unreachable);
    const local_id id = f.request_lease("a");
    CHECK(f.refused(id) == refusal::owner_unreachable);
    CHECK(f.owner.state().queue.size() == 0);
}

TEST_CASE("a fingerprint that broke two engine runs is refused", "[pool]")
{
    pool_fixture f(2, 1);
    f.become_settled_owner();
    for (std::size_t engine = 0; engine < 2; ++engine) {
        f.report({held("a")}, engine);
        const local_id id = f.request_lease("a", priority::interactive, 99);
        REQUIRE(f.granted(id));
        f.release(id, protocol::lease_end::crashed);
    }
    f.report_all({held("a")});
    const local_id id = f.request_lease("a", priority::interactive, 99);
    CHECK(f.refused(id) == refusal::quarantined);
}

TEST_CASE("a suspected fingerprint runs one at a time", "[pool]")
{
    pool_fixture f(2, 1);
    f.become_settled_owner();
    f.report_all({held("a")});
    f.owner.on_suspicions(
        std::vector<protocol::suspicion>{{99, target_id("engine-9"), 1}},
        f.now);
    const local_id first = f.request_lease("a", priority::interactive, 99);
    const local_id second = f.request_lease("a", priority::interactive, 99);
    CHECK(f.granted(first));
    CHECK_FALSE(f.granted(second));
    f.release(first);
    CHECK(f.granted(second));
}

TEST_CASE("batch work is loaded in the end although others keep coming",
          "[pool]")
{
    pool_fixture f;
    f.become_settled_owner();
    const local_id digest =
        f.request_lease("digest", priority::batch, 0, 9000s);
    int rounds = 0;
    for (; rounds < 2000 && !f.granted(digest); ++rounds) {
        const std::string adapter = rounds % 2 == 0 ? "a" : "b";
        const local_id id = f.request_lease(adapter);
        f.advance(1s);
        f.complete_orders();
        f.release(id);
    }
    CHECK(f.granted(digest));
}

TEST_CASE(
    "a request that cannot meet its deadline is refused with a retry delay",
    "[pool]")
{
    pool_fixture f;
    f.become_settled_owner();
    for (int i = 0; i < 40; ++i)
        f.request_lease("adapter-" + std::to_string(i));
    f.advance(300ms);
    const local_id late = f.request_lease("late", priority::interactive, 0, 2s);
    CHECK(f.refused(late) == refusal::deadline_unreachable);
    for (const auto& r : f.sent<protocol::lease_refusal>())
        CHECK(r.retry_after > 0s);
}

TEST_CASE("the adapter with the lowest demand is evicted", "[pool]")
{
    pool_fixture f(1, 2);
    f.become_settled_owner();
    for (int i = 0; i < 10; ++i) {
        for (const char* adapter : {"often", "rare"}) {
            if (i > 0 && std::string(adapter) == "rare")
                continue;
            const local_id id = f.request_lease(adapter);
            f.complete_orders();
            f.release(id);
        }
    }
    f.request_lease("new");
    f.permit_all();
    const auto orders = f.take_orders();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == node::order_kind::unload);
    CHECK(orders[0].adapter.adapter == "rare");
}
