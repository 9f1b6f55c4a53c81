#include "lovagegate/gateway/placement.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

constexpr duration drain_limit = 2s;
constexpr time_point now{10s};
constexpr duration least = 1us;

target_entry entry_of(const std::string& id, std::int64_t started_ms = 5)
{
    target_entry e;
    e.id = id;
    e.service = "s";
    e.address = {"10.0.0.1", 80};
    e.started_ms = started_ms;
    return e;
}

/// @return a directory with these targets, whose start is 5
target_directory directory_of(std::initializer_list<std::string> ids)
{
    target_directory targets(drain_limit);
    for (const auto& id : ids)
        targets.put(entry_of(id), now);
    return targets;
}

target_use use_of(const target_directory& targets, const std::string& id,
                  time_point at)
{
    return targets.find(id)->use(at);
}

} // namespace

TEST_CASE("a target that says that it leaves is a last resort at once and "
          "unusable after the drain share",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK(targets.on_leaving_notice("t", 5, now));
    CHECK(use_of(targets, "t", now) == target_use::last_resort);
    CHECK(use_of(targets, "t", now + drain_limit / 2 - least) ==
          target_use::last_resort);
    CHECK(use_of(targets, "t", now + drain_limit / 2) == target_use::none);
    CHECK(use_of(targets, "t", now + drain_limit) == target_use::none);
    CHECK(use_of(targets, "t", now + 10min) == target_use::none);
}

TEST_CASE("repeated notices don't extend the time of a leaving target",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK(targets.on_leaving_notice("t", 5, now));
    CHECK_FALSE(targets.on_leaving_notice("t", 5, now + 900ms));
    CHECK(use_of(targets, "t", now + 1s) == target_use::none);
}

TEST_CASE("an entry that calls a target live doesn't undo that it leaves",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_leaving_notice("t", 5, now);
    targets.put(entry_of("t"), now + 100ms);
    CHECK(use_of(targets, "t", now + 100ms) == target_use::last_resort);
    auto leaving = entry_of("t");
    leaving.leaving = true;
    targets.put(leaving, now + 500ms);
    targets.put(entry_of("t"), now + 600ms);
    CHECK(use_of(targets, "t", now + 1s) == target_use::none);
}

TEST_CASE("a target that leaves stays so when its entry returns after an "
          "outage of the store",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_leaving_notice("t", 5, now);
    targets.remove("t", 2s, now + 1s);
    targets.expire(now + 5min);
    targets.put(entry_of("t"), now + 5min);
    CHECK(use_of(targets, "t", now + 5min) == target_use::none);
}

TEST_CASE("an entry that left the store before the notice doesn't extend the "
          "time of the target",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.remove("t", 0s, now);
    targets.on_leaving_notice("t", 5, now + 900ms);
    CHECK(use_of(targets, "t", now + 1s) == target_use::none);
}

TEST_CASE("a new start of a target is not bound by what the earlier one said",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_leaving_notice("t", 5, now);
    targets.on_pause("t", 5, now + 5s, now);
    targets.put(entry_of("t", 6), now + 10ms);
    CHECK(use_of(targets, "t", now + 2s) == target_use::normal);
    // Late answers of the earlier start.
    CHECK_FALSE(targets.on_leaving_notice("t", 5, now + 2s));
    CHECK_FALSE(targets.on_pause("t", 5, now + 9s, now + 2s));
    CHECK(use_of(targets, "t", now + 3s) == target_use::normal);
}

TEST_CASE("a target at the address of one that left is usable", "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_leaving_notice("t", 5, now);
    targets.on_pause("t", 5, now + 20s, now);
    targets.put(entry_of("other", 5), now + 2s);
    CHECK(use_of(targets, "other", now + 2s) == target_use::normal);
    CHECK(targets.usable("s", now + 2s).size() == 1);
}

TEST_CASE("a pausing target is unusable until exactly the end of its pause",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK(targets.on_pause("t", 5, now + 3s, now));
    for (const duration at : {duration{}, duration{500ms} - least,
                              duration{500ms}, duration{3s} - least}) {
        CAPTURE(at.count());
        CHECK(use_of(targets, "t", now + at) == target_use::none);
        CHECK(targets.usable("s", now + at).empty());
    }
    CHECK(use_of(targets, "t", now + 3s) == target_use::normal);
}

TEST_CASE("a pause that is repeated before it ends lasts until the later end",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK(targets.on_pause("t", 5, now + 3s, now));
    CHECK_FALSE(targets.on_pause("t", 5, now + 2s, now + 1s));
    CHECK(use_of(targets, "t", now + 3s - least) == target_use::none);
    CHECK_FALSE(targets.on_pause("t", 5, now + 4s, now + 1s));
    CHECK(use_of(targets, "t", now + 4s - least) == target_use::none);
    CHECK(use_of(targets, "t", now + 4s) == target_use::normal);
    CHECK(targets.on_pause("t", 5, now + 6s, now + 5s));
}

TEST_CASE("a new entry of the same start doesn't end a pause", "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_pause("t", 5, now + 3s, now);
    targets.put(entry_of("t"), now + 1s);
    CHECK(use_of(targets, "t", now + 3s - least) == target_use::none);
}

TEST_CASE("a pause is reported as ended once, after its end", "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_pause("t", 5, now + 3s, now);
    CHECK_FALSE(targets.take_ended_pause("t", now + 3s - least));
    targets.put(entry_of("t"), now + 1s);
    CHECK(targets.take_ended_pause("t", now + 3s));
    CHECK_FALSE(targets.take_ended_pause("t", now + 3s));
}

TEST_CASE("a target that leaves and pauses is unusable during the pause, and "
          "for good after the drain share",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    targets.on_pause("t", 5, now + 500ms, now);
    targets.on_leaving_notice("t", 5, now);
    CHECK(use_of(targets, "t", now + 500ms - least) == target_use::none);
    CHECK(use_of(targets, "t", now + 500ms) == target_use::last_resort);
    CHECK(use_of(targets, "t", now + 1s) == target_use::none);
    auto other = directory_of({"t"});
    other.on_leaving_notice("t", 5, now);
    other.on_pause("t", 5, now + 5s, now);
    CHECK(use_of(other, "t", now + 5s) == target_use::none);
}

TEST_CASE("what a target says to one instance doesn't bind another one",
          "[gateway]")
{
    auto told = directory_of({"t"});
    const auto other = directory_of({"t"});
    told.on_leaving_notice("t", 5, now);
    told.on_pause("t", 5, now + 3s, now);
    CHECK(use_of(told, "t", now) == target_use::none);
    CHECK(use_of(other, "t", now) == target_use::normal);
}

TEST_CASE("notices of unknown targets change nothing", "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK_FALSE(targets.on_leaving_notice("u", 5, now));
    CHECK_FALSE(targets.on_pause("u", 5, now + 3s, now));
    CHECK(targets.find("u") == nullptr);
    CHECK_FALSE(targets.take_ended_pause("u", now));
}

TEST_CASE("the next end of a pause is known while all usable targets pause",
          "[gateway]")
{
    auto targets = directory_of({"a", "b", "c"});
    targets.on_pause("a", 5, now + 5s, now);
    targets.on_pause("b", 5, now + 3s, now);
    CHECK_FALSE(targets.next_pause_end("s", now));
    // A leaving target that pauses beyond its drain share doesn't return.
    targets.on_pause("c", 5, now + 2s, now);
    targets.on_leaving_notice("c", 5, now);
    CHECK(targets.next_pause_end("s", now) == now + 3s);
    CHECK_FALSE(targets.next_pause_end("s", now + 3s));
    CHECK_FALSE(targets.next_pause_end("unknown", now));
}

TEST_CASE("a target that says that it leaves is not chosen while another one "
          "serves, although it holds the adapter",
          "[gateway]")
{
    auto targets = directory_of({"a", "b"});
    placement p("z", 1);
    p.on_resident("a", "m/a1", 1, now);
    placement_request wanted;
    wanted.service = "s";
    wanted.adapter = adapter_ref{"m", "a1", 0};
    CHECK(p.choose(wanted, targets.usable("s", now), 1, now)->target == "a");
    targets.on_leaving_notice("a", 5, now);
    CHECK(p.choose(wanted, targets.usable("s", now), 1, now)->target == "b");
}

TEST_CASE(
    "an entry of a restored store doesn't undo what the target said since",
    "[gateway]")
{
    auto entry = entry_of("t");
    entry.sequence = 7;
    target_directory targets(drain_limit);
    REQUIRE(targets.put(entry, now, 1));
    auto later = entry;
    later.sequence = 9;
    later.leaving = true;
    SECTION("that it leaves")
    {
        REQUIRE(targets.put(later, now, 1));
        CHECK_FALSE(targets.put(entry, now, 2));
        CHECK(use_of(targets, "t", now) == target_use::last_resort);
        CHECK(use_of(targets, "t", now + drain_limit) == target_use::none);
    }
    SECTION("that it has left")
    {
        targets.remove("t", 0s, now, 1);
        CHECK_FALSE(targets.put(entry, now, 2));
        CHECK(use_of(targets, "t", now + drain_limit) == target_use::none);
    }
    SECTION("that it has started again")
    {
        auto restarted = entry_of("t", 6);
        REQUIRE(targets.put(restarted, now, 1));
        CHECK_FALSE(targets.put(entry, now, 2));
        CHECK(targets.find("t")->entry.started_ms == 6);
    }
}

TEST_CASE(
    "a target that writes its entry again after the store was restored is "
    "used",
    "[gateway]")
{
    auto entry = entry_of("t");
    entry.sequence = 7;
    target_directory targets(drain_limit);
    REQUIRE(targets.put(entry, now, 1));
    targets.remove("t", 2s, now, 2);
    CHECK(use_of(targets, "t", now) == target_use::normal);
    SECTION("with a newer entry")
    {
        entry.sequence = 8;
    }
    SECTION("with the entry that was lost") {}
    SECTION("of a start that a clock puts earlier")
    {
        entry.started_ms = 4;
    }
    CHECK(targets.put(entry, now + 1s, 2));
    CHECK(use_of(targets, "t", now + 10s) == target_use::normal);
}

TEST_CASE("a target that lives and has nothing new to write is used after the "
          "store was restored",
          "[gateway]")
{
    auto entry = entry_of("t");
    entry.sequence = 7;
    target_directory targets(drain_limit);
    REQUIRE(targets.put(entry, now, 1));
    SECTION("at once if its entry had expired in an outage")
    {
        targets.remove("t", 2s, now + 1s, 1);
        CHECK(targets.put(entry, now + 8s, 2));
        CHECK(use_of(targets, "t", now + 10s) == target_use::normal);
    }
    SECTION("once its entry would have expired if it had ended")
    {
        targets.remove("t", 0s, now + 1s, 1);
        REQUIRE_FALSE(targets.put(entry, now + 8s, 2));
        CHECK(targets.take_confirmed_entries(now + 12s).empty());
        CHECK(targets.usable("s", now + 12s).empty());
        SECTION("and not if it has expired")
        {
            targets.remove("t", 0s, now + 12s, 2);
            CHECK(targets.take_confirmed_entries(now + 15s).empty());
        }
        SECTION("because the store still has it")
        {
            const auto confirmed = targets.take_confirmed_entries(now + 15s);
            REQUIRE(confirmed.size() == 1);
            CHECK(targets.put(confirmed.front(), now + 15s, 2));
            CHECK(targets.usable("s", now + 20s).size() == 1);
        }
    }
    SECTION("but not if it has said that it leaves")
    {
        auto leaving = entry;
        leaving.leaving = true;
        leaving.sequence = 9;
        REQUIRE(targets.put(leaving, now + 1s, 1));
        REQUIRE_FALSE(targets.put(entry, now + 8s, 2));
        CHECK(targets.take_confirmed_entries(now + 30s).empty());
    }
}

TEST_CASE("the latest answer of a target tells its limit", "[gateway]")
{
    auto targets = directory_of({"t", "u"});
    CHECK(targets.on_limit("t", 5, 1.3, now + 1s));
    CHECK_FALSE(targets.on_limit("t", 5, 1.3, now + 2s));
    CHECK_FALSE(targets.on_limit("t", 5, 9.0, now + 1s));
    CHECK(targets.find("t")->limit.per_second == 1.3);
    CHECK(targets.limited(now + 2s) == 1);
    CHECK_FALSE(targets.total_limit("s", now + 2s));
    SECTION("until an answer names none")
    {
        CHECK(targets.on_limit("t", 5, std::nullopt, now + 3s));
        CHECK_FALSE(targets.on_limit("t", 5, 1.3, now + 2s));
        CHECK_FALSE(targets.find("t")->limit.per_second);
    }
    SECTION("also after a new entry of the same start")
    {
        targets.put(entry_of("t"), now + 3s);
        CHECK(targets.find("t")->limit.per_second == 1.3);
    }
    SECTION("but not for its next start")
    {
        targets.put(entry_of("t", 6), now + 3s);
        CHECK_FALSE(targets.find("t")->limit.per_second);
        CHECK_FALSE(targets.on_limit("t", 5, 2.0, now + 4s));
    }
    SECTION("and the limits of all targets of a service add up")
    {
        targets.on_limit("u", 5, 0.2, now + 3s);
        CHECK(targets.total_limit("s", now + 3s) == Approx(1.5));
    }
}

TEST_CASE("a target's limit is told when it changes and now and then after",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK_FALSE(targets.take_limit_news("t", false, now));
    CHECK(
        targets.take_limit_news("t", targets.on_limit("t", 5, 1.0, now), now));
    CHECK_FALSE(targets.take_limit_news("t", false, now + 1999ms));
    CHECK(targets.take_limit_news("t", false, now + 2s));
    CHECK(targets.take_limit_news(
        "t", targets.on_limit("t", 5, std::nullopt, now + 2s), now + 2s));
    CHECK_FALSE(targets.take_limit_news("t", false, now + 9s));
}

TEST_CASE("a limit that another instance has told isn't repeated at once",
          "[gateway]")
{
    auto targets = directory_of({"t"});
    CHECK(targets.on_limit_told("t", 5, 1.0, now, now));
    CHECK_FALSE(targets.on_limit("t", 5, 1.0, now + 1s));
    CHECK_FALSE(targets.take_limit_news("t", false, now + 1s));
    CHECK(targets.take_limit_news("t", false, now + 2s));
    SECTION("but after an older one")
    {
        CHECK_FALSE(targets.on_limit_told("t", 5, 3.0, now, now + 5s));
        CHECK(targets.take_limit_news("t", false, now + 5s));
    }
}
