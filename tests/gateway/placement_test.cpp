#include "lovagegate/gateway/placement.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

constexpr std::size_t adapter_slots = 4;

class engines
{
public:
    explicit engines(int count)
    {
        for (int i = 0; i < count; ++i) {
            target_entry e;
            e.id = "e" + std::to_string(i);
            e.service = "llm";
            e.slots = 64;
            e.failure_domain = "z";
            directory.put(e, now);
        }
    }

    std::optional<placement_choice>
    choose(placement& p, const std::string& adapter,
           std::vector<std::string> excluded = {})
    {
        placement_request r;
        r.service = "llm";
        r.adapter = adapter_ref{"m", adapter, 0};
        r.excluded = excluded;
        return p.choose(r, directory.usable("llm", now), 3, now);
    }

    target_directory directory{2s};
    time_point now{100s};
};

} // namespace

TEST_CASE("all instances choose the same engine for an unknown adapter",
          "[gateway]")
{
    engines site(12);
    for (int a = 0; a < 40; ++a) {
        placement one("z", 1);
        placement other("z", 99);
        const auto name = "a" + std::to_string(a);
        const auto first = site.choose(one, name);
        REQUIRE(first);
        CHECK_FALSE(first->resident);
        CHECK(first->target == site.choose(other, name)->target);
    }
}

TEST_CASE("an engine that holds the adapter is preferred to one that doesn't",
          "[gateway]")
{
    engines site(6);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    const std::string other = home == "e0" ? "e1" : "e0";
    p.on_resident(other, "m/a1", 1, site.now);
    const auto choice = site.choose(p, "a1");
    CHECK(choice->target == other);
    CHECK(choice->resident);
    p.on_absent(other, "m/a1", site.now);
    const auto after = site.choose(p, "a1");
    CHECK(after->target == other); // its cache still holds the adapter
    CHECK_FALSE(after->resident);
}

TEST_CASE("an adapter stays at its first engine while that is a little busier",
          "[gateway]")
{
    engines site(6);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    for (int i = 0; i < 6; ++i) {
        const auto id = "e" + std::to_string(i);
        p.on_load_report({id, 1, {}, id == home ? 25U : 10U, 0, 0, 0, 9},
                         site.now);
    }
    CHECK(site.choose(p, "a1")->target == home);
}

TEST_CASE("an engine with a long queue is passed over for another", "[gateway]")
{
    engines site(6);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    p.on_resident(home, "m/a1", 1, site.now);
    for (int i = 0; i < 6; ++i) {
        const auto id = "e" + std::to_string(i);
        p.on_load_report(
            {id, 1, {}, id == home ? 64U : 5U, id == home ? 60U : 0U, 0, 0, 9},
            site.now);
    }
    CHECK(site.choose(p, "a1")->target != home);
}

// Guards against an engine that crashes because its memory overflows while
// another one has room, and against that bound where nobody asked for it.
TEST_CASE("an engine without memory for a request is passed over", "[gateway]")
{
    engines site(2);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    p.on_resident(home, "m/a1", 1, site.now);
    for (const auto* id : {"e0", "e1"})
        p.on_load_report({id, 1, {}, 5, 0, id == home ? 840U : 100U, 0, 9},
                         site.now);
    CHECK(site.choose(p, "a1")->target == home);
    placement_request wanted;
    wanted.service = "llm";
    wanted.adapter = adapter_ref{"m", "a1", 0};
    wanted.prompt_tokens = 2000;
    wanted.output_tokens = 368;
    wanted.engine_tokens = 84665;
    const auto all = site.directory.usable("llm", site.now);
    CHECK(p.choose(wanted, all, 8, site.now)->target != home);
    // If none has room, the request isn't refused.
    for (const auto* id : {"e0", "e1"})
        p.on_load_report({id, 1, {}, 5, 0, 900, 0, 9}, site.now);
    CHECK(p.choose(wanted, all, 8, site.now));
}

TEST_CASE("an unreachable engine is avoided for a while", "[gateway]")
{
    engines site(4);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    p.on_unreachable(home, site.now);
    CHECK(site.choose(p, "a1")->target != home);
    site.now += 5s;
    CHECK(site.choose(p, "a1")->target == home);
}

TEST_CASE(
    "an engine that fails its requests quickly doesn't attract more of them",
    "[gateway]")
{
    engines site(3);
    placement p("z", 1);
    for (int i = 0; i < 3; ++i)
        p.on_resident("e" + std::to_string(i), "m/a1", 1, site.now);
    const auto first = site.choose(p, "a1")->target;
    for (int i = 0; i < 4; ++i)
        p.on_failure(first, site.now);
    CHECK(site.choose(p, "a1")->target != first);
}

TEST_CASE("targets that were tried are not chosen again", "[gateway]")
{
    engines site(2);
    placement p("z", 1);
    CHECK(site.choose(p, "a1", {"e0"})->target == "e1");
    CHECK_FALSE(site.choose(p, "a1", {"e0", "e1"}));
}

TEST_CASE("a restarted engine holds nothing", "[gateway]")
{
    placement p("z", 1);
    const time_point now{100s};
    target_entry e;
    e.id = "e0";
    e.started_ms = 1;
    e.models = {{"m", {"a1@4"}}};
    p.on_published_entry(e, adapter_slots, now);
    CHECK(p.is_resident("e0", "m/a1", 4));
    CHECK_FALSE(p.is_resident("e0", "m/a1", 5));
    e.started_ms = 2;
    e.models = {{"m", {}}};
    p.on_published_entry(e, adapter_slots, now);
    CHECK_FALSE(p.is_resident("e0", "m/a1", 0));
}

TEST_CASE("an update from the owner takes precedence over an older entry",
          "[gateway]")
{
    placement p("z", 1);
    const time_point now{100s};
    target_entry e;
    e.id = "e0";
    e.models = {{"m", {"a1@1"}}};
    p.on_published_entry(e, adapter_slots, now);
    p.on_absent("e0", "m/a1", now);
    p.on_published_entry(e, adapter_slots, now + 1s);
    CHECK_FALSE(p.is_resident("e0", "m/a1", 0));
    p.on_published_entry(e, adapter_slots, now + 4s);
    CHECK(p.is_resident("e0", "m/a1", 0));
}

TEST_CASE("an adapter is loaded on an engine that has cached it", "[gateway]")
{
    engines site(6);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    target_entry other;
    other.id = home == "e0" ? "e1" : "e0";
    other.started_ms = 7;
    other.models = {{"m", {"a1@1"}}};
    p.on_published_entry(other, adapter_slots, site.now);
    other.models = {{"m", {}}};
    site.now += 4s;
    p.on_published_entry(other, adapter_slots, site.now);
    const auto choice = site.choose(p, "a1");
    CHECK(choice->target == other.id);
    CHECK_FALSE(choice->resident);
}

TEST_CASE("only the most recently seen adapters are assumed to be cached",
          "[gateway]")
{
    placement p("z", 1);
    target_entry e;
    e.id = "e0";
    for (int a = 0; a < 40; ++a) {
        e.models = {{"m", {"a" + std::to_string(a) + "@1"}}};
        p.on_published_entry(e, adapter_slots,
                             time_point(std::chrono::seconds(a)));
    }
    const auto copies = p.cached_adapters("e0");
    REQUIRE(copies.size() == cached_adapters_per_slot * adapter_slots);
    CHECK(copies.back() == "m/a39");
    CHECK(copies.front() == "m/a20");
}

TEST_CASE("an engine whose streams stall gets fewer requests", "[gateway]")
{
    engines site(6);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    p.on_resident(home, "m/a1", 1, site.now);
    p.on_load_report({home, 1, {}, 20, 0, 0, 100, 9}, site.now);
    CHECK(site.choose(p, "a1")->target == home); // one stream in ten stalls
    p.on_load_report({home, 1, {}, 20, 0, 0, 800, 9}, site.now);
    CHECK(site.choose(p, "a1")->target != home);
    site.now += 10s; // the report of the owner has expired
    CHECK(site.choose(p, "a1")->target == home);
}

TEST_CASE("an adapter is loaded where adapter slots are free", "[gateway]")
{
    engines site(6);
    placement p("z", 1);
    const auto home = site.choose(p, "a1")->target;
    for (int i = 0; i < 6; ++i) {
        const auto id = "e" + std::to_string(i);
        p.on_load_report({id, 1, {}, 10, 0, 0, 0, id == home ? 0U : 9U},
                         site.now);
    }
    CHECK(site.choose(p, "a1")->target != home);
    p.on_resident(home, "m/a1", 1, site.now); // needs no adapter slot
    CHECK(site.choose(p, "a1")->target == home);
}

TEST_CASE("requests for one popular adapter spread without load reports",
          "[gateway]")
{
    // 60 instances send 80 requests per second for one adapter. Engines have 64
    // slots and requests last 1.5 s, so 120 run at once. No load report
    // arrives.
    engines site(12);
    constexpr std::size_t instances = 60;
    constexpr auto between = 750ms;
    std::vector<placement> fleet;
    for (std::size_t i = 0; i < instances; ++i)
        fleet.emplace_back("z", i);
    std::map<std::string, int> chosen;
    placement_request r;
    r.service = "llm";
    r.adapter = adapter_ref{"m", "a1", 0};
    for (int round = 0; round < 20; ++round) {
        site.now += between;
        for (auto& p : fleet) {
            const auto choice = p.choose(
                r, site.directory.usable("llm", site.now), instances, site.now);
            p.on_resident(choice->target, "m/a1", 1, site.now);
            if (round >= 10)
                ++chosen[choice->target];
        }
    }
    int most = 0;
    for (const auto& [target, n] : chosen)
        most = std::max(most, n);
    // 600 requests in 7.5 s: an engine that gets more than 320 is overloaded.
    CHECK(most < 320);
}

TEST_CASE("one request for an idle adapter of a large fleet doesn't spread it "
          "over several engines",
          "[gateway]")
{
    // Each instance of a large fleet sees a first request for an idle adapter
    // now and then. If it took that for one request at each other instance, the
    // store would load the adapter on many engines.
    constexpr std::size_t instances = 195;
    engines site(124);
    for (int a = 0; a < 40; ++a) {
        std::set<std::string> chosen;
        for (std::uint64_t instance = 0; instance < 10; ++instance) {
            placement p("z", instance);
            placement_request r;
            r.service = "llm";
            r.adapter = adapter_ref{"m", "a" + std::to_string(a), 0};
            const auto choice = p.choose(
                r, site.directory.usable("llm", site.now), instances, site.now);
            REQUIRE(choice);
            chosen.insert(choice->target);
        }
        CHECK(chosen.size() == 1);
    }
}
