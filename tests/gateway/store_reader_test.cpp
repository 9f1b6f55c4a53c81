#include "lovagegate/gateway/store_reader.hpp"

#include "standins/site/platform_store.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

/// Longer than any operation takes on a busy machine; only failing tests wait
/// this long.
constexpr duration max_wait = 20s;

/// A store_reader for the configuration and a store, on one event loop.
struct reading
{
    net::event_loop loop;
    standins::platform_store store{loop};
    target_pool pool{loop};
    counters counts;
    std::vector<std::string> seen; ///< in the order in which they arrived
    bool failed = false;           ///< the reader lost contact at some time
    std::unique_ptr<store_reader> reader;

    reading()
    {
        store.put_config("first");
        reader = std::make_unique<store_reader>(
            loop, pool, settings::endpoint{"127.0.0.1", store.port()}, "op/",
            counts,
            [this](const platform_wire::store_item& item, bool) {
                seen.push_back(item.value);
            },
            [](const store_reader::batch&) {});
        reader->start();
        REQUIRE(run_until([&] { return seen.size() == 1; }));
        REQUIRE(run_until([&] { return !reader->is_failing(); }));
        failed = false;
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const time_point until = net::event_loop::now().mono + max_wait;
        while (!condition() && net::event_loop::now().mono < until) {
            // Wakes the loop, which otherwise sleeps until its next event.
            loop.call_later(5ms, [] {});
            loop.run_once();
            failed = failed || reader->is_failing();
        }
        return condition();
    }
};

} // namespace

TEST_CASE("one interrupted watch doesn't count as a loss of contact with "
          "the store",
          "[gateway]")
{
    // An instance that is wrongly assumed to be cut off hands the reading over
    // to one that may really be cut off, and until then no instance learns of
    // changes.
    reading r;
    r.store.cut_next(1);
    r.store.put_config("second");
    r.store.compact();
    REQUIRE(r.run_until([&] { return r.seen.size() == 2; }));
    CHECK(r.seen.back() == "second");
    CHECK_FALSE(r.failed);
    CHECK(r.counts.count("store_calls_cut") == 1);
    // The interruption above was followed by a success, so this one counts as
    // the first again.
    r.store.cut_next(1);
    r.store.put_config("third");
    REQUIRE(r.run_until([&] { return r.seen.size() == 3; }));
    CHECK_FALSE(r.failed);
}

TEST_CASE("two interrupted calls in a row count as a loss of contact with "
          "the store",
          "[gateway]")
{
    reading r;
    r.store.cut_next(2);
    CHECK(r.run_until([&] { return r.failed; }));
    CHECK(r.run_until([&] { return !r.reader->is_failing(); }));
}

TEST_CASE("one refused call counts as a loss of contact with the store",
          "[gateway]")
{
    reading r;
    r.store.set_down(true);
    CHECK(r.run_until([&] { return r.failed; }));
    r.store.set_down(false);
    CHECK(r.run_until([&] { return !r.reader->is_failing(); }));
}
