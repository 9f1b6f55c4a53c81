#include "lovagegate/ownership/order_watch.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::ownership::order_watch;

namespace {

constexpr time_point start{100s};
constexpr std::int64_t run = 1;

} // namespace

TEST_CASE("orders beyond one's own are orders of others", "[ownership]")
{
    // An instance that takes its own orders for foreign ones never keeps an
    // engine; one that misses foreign ones orders beside another owner.
    order_watch watch;
    CHECK_FALSE(watch.last_foreign_order("e1"));
    CHECK_FALSE(watch.on_report("e1", run, 5, start));
    CHECK(watch.last_foreign_order("e1") == start);
    watch.on_order_sent("e1", start + 1s);
    CHECK_FALSE(watch.on_report("e1", run, 5, start + 1s)); // before the order
    CHECK_FALSE(watch.on_report("e1", run, 6, start + 1s));
    CHECK(watch.last_foreign_order("e1") == start);
    CHECK(watch.on_report("e1", run, 7, start + 2s));
    CHECK(watch.last_foreign_order("e1") == start + 2s);
}

TEST_CASE("an order that wasn't accepted doesn't hide one of others",
          "[ownership]")
{
    order_watch watch;
    watch.on_report("e1", run, 5, start);
    watch.on_order_sent("e1", start);
    watch.on_order_failed("e1");
    CHECK(watch.on_report("e1", run, 6, start + 1s));
    // An order without an answer that no report shows.
    watch.on_order_sent("e1", start + 1s);
    CHECK(watch.on_report("e1", run, 7, start + 4s));
}

TEST_CASE("after the engine's restart the number begins anew", "[ownership]")
{
    order_watch watch;
    watch.on_report("e1", run, 5, start);
    CHECK_FALSE(watch.on_report("e1", run + 1, 9, start + 1s));
    CHECK(watch.last_foreign_order("e1") == start + 1s);
    CHECK(watch.on_report("e1", run + 1, 10, start + 2s));
}

TEST_CASE("a delayed report shows no orders", "[ownership]")
{
    order_watch watch;
    watch.on_report("e1", run, 5, start);
    CHECK_FALSE(watch.on_report("e1", run, 4, start + 1s));
    CHECK_FALSE(watch.on_report("e1", run, 5, start + 1s));
}
