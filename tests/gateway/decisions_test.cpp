#include "lovagegate/gateway/crash_suspects.hpp"
#include "lovagegate/gateway/event_splitter.hpp"
#include "lovagegate/gateway/load_estimate.hpp"
#include "lovagegate/gateway/releases.hpp"
#include "lovagegate/gateway/retry_budget.hpp"
#include "lovagegate/gateway/route_table.hpp"
#include "lovagegate/gateway/store_reader_election.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

route make_route(const std::string& name, const std::string& host,
                 const std::string& prefix)
{
    route r;
    r.name = name;
    r.host = host;
    r.prefix = prefix;
    r.services = {{"s", 1}};
    return r;
}

site_config config_of(std::uint64_t version, std::vector<route> routes)
{
    site_config c;
    c.version = version;
    c.routes = std::move(routes);
    return c;
}

target_entry entry_of(const std::string& id, bool leaving = false)
{
    target_entry e;
    e.id = id;
    e.service = "s";
    e.address = {"10.0.0.1", 80};
    e.leaving = leaving;
    e.started_ms = 5;
    return e;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is chosen",
          "[gateway]")
{
    route_table table;
    REQUIRE(table.adopt(config_of(1, {make_route("a", "H.example", "/"),
                                      make_route("b", "h.example", "/x/"),
                                      make_route("c", "h.example", "/x/y/"),
                                      make_route("d", "o.example", "/x/")})));
    CHECK(table.find("h.example", "/x/y/z?q=/x/")->name == "c");
    CHECK(table.find("h.example:80", "/x/yz")->name == "b");
    CHECK(table.find("h.example", "/xy")->name == "a");
    CHECK(table.find("h.example", "/x?/x/y/")->name == "a");
    CHECK(table.find("n.example", "/x/") == nullptr);
    CHECK(table.find("o.example", "/") == nullptr);
}

TEST_CASE("an older configuration is never adopted", "[gateway]")
{
    route_table table;
    REQUIRE(table.adopt(config_of(7, {make_route("a", "h", "/")})));
    CHECK_FALSE(table.adopt(config_of(6, {})));
    CHECK_FALSE(table.adopt(config_of(7, {})));
    CHECK(table.version() == 7);
    CHECK(table.find("h", "/") != nullptr);
}

TEST_CASE("a route stays valid for its request after a new configuration",
          "[gateway]")
{
    route_table table;
    table.adopt(config_of(1, {make_route("a", "h", "/")}));
    const auto held = table.find("h", "/");
    table.adopt(config_of(2, {}));
    CHECK(held->name == "a");
    CHECK(table.find("h", "/") == nullptr);
}

TEST_CASE("a leaving target gets work only as a last resort, and not for long",
          "[gateway]")
{
    target_directory targets(2s);
    const time_point now{10s};
    targets.put(entry_of("t"), now);
    CHECK(targets.find("t")->use(now) == target_use::normal);
    targets.put(entry_of("t", true), now);
    CHECK(targets.find("t")->use(now) == target_use::last_resort);
    // Further heartbeats of a leaving target do not extend the time.
    targets.put(entry_of("t", true), now + 900ms);
    CHECK(targets.find("t")->use(now + 1999ms) == target_use::none);
    CHECK(targets.usable("s", now + 1999ms).empty());
}

TEST_CASE("a target that leaves at short notice gets no work", "[gateway]")
{
    target_directory targets(2s);
    const time_point now{10s};
    auto entry = entry_of("t", true);
    entry.leaves_in = 1500ms;
    targets.put(entry, now);
    CHECK(targets.find("t")->use(now) == target_use::none);
}

TEST_CASE(
    "the target of an expired entry stays usable until the entry must be back",
    "[gateway]")
{
    target_directory targets(2s);
    const time_point now{10s};
    targets.put(entry_of("t"), now);
    targets.remove("t", 2s, now);
    CHECK(targets.find("t")->use(now + 1s) == target_use::normal);
    CHECK(targets.find("t")->use(now + 2s) == target_use::none);
    targets.put(entry_of("t"), now + 1500ms);
    CHECK(targets.find("t")->use(now + 9s) == target_use::normal);
}

TEST_CASE("a target whose entry was removed deliberately is no longer used",
          "[gateway]")
{
    target_directory targets(2s);
    const time_point now{10s};
    targets.put(entry_of("t"), now);
    targets.remove("t", 0s, now);
    CHECK(targets.find("t")->use(now) == target_use::last_resort);
    // The news may have taken 1.2 s and a request takes 0.1 s, of 2 s in all.
    CHECK(targets.find("t")->use(now + 700ms) == target_use::none);
    // The removal of a leaving target does not extend its time.
    targets.put(entry_of("u", true), now);
    targets.remove("u", 2s, now + 900ms);
    CHECK(targets.find("u")->use(now + 1100ms) == target_use::none);
    targets.expire(now + 60s);
    CHECK(targets.find("t") == nullptr);
}

TEST_CASE("events are passed on whole wherever the stream is split",
          "[gateway]")
{
    CHECK(rc::check([] {
        const std::string stream =
            "x-weight-versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
            "id:3\ndata: c\n\ndata: no id\n\nid: 4\nda";
        const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, stream.size()));
        event_splitter splitter;
        std::string whole;
        std::size_t from = 0;
        auto ordered = cuts;
        std::ranges::sort(ordered);
        ordered.push_back(stream.size());
        for (const auto to : ordered) {
            whole +=
                splitter.add(std::string_view(stream).substr(from, to - from));
            from = to;
        }
        RC_ASSERT(whole + std::string(splitter.partial_event()) == stream);
        RC_ASSERT(splitter.partial_event() == "id: 4\nda");
        RC_ASSERT(splitter.last_id() == "3");
        RC_ASSERT(splitter.event_count() == 4U);
    }));
}

TEST_CASE("comments and empty lines are no events", "[gateway]")
{
    event_splitter splitter;
    CHECK(splitter.add(": k\n\n") == ": k\n\n");
    CHECK(splitter.add("\n\n\r\n\r\n") == "\n\n\r\n\r\n");
    CHECK(splitter.event_count() == 0);
    CHECK(splitter.add(": k\n:").empty());
    CHECK(splitter.add(" l\nd").empty());
    CHECK(splitter.add("ata: a\n\n") == ": k\n: l\ndata: a\n\n");
    CHECK(splitter.event_count() == 1);
}

TEST_CASE("all instances together stay within the limit on retries",
          "[gateway]")
{
    constexpr std::size_t instances = 9;
    constexpr double ratio = 0.2;
    constexpr double slack = 58;
    std::vector<retry_budget> budgets(instances,
                                      retry_budget(ratio, slack, 10s));
    std::vector<std::pair<time_point, bool>> seen; // true: a repeat
    time_point now{100s};
    for (int i = 0; i < 6000; ++i) {
        now += 5ms;
        auto& budget = budgets[static_cast<std::size_t>(i) % instances];
        budget.on_request("s", now);
        seen.emplace_back(now, false);
        // Two retries are attempted for every request.
        for (int n = 0; n < 2; ++n)
            if (budget.try_consume("s", instances, now))
                seen.emplace_back(now, true);
    }
    for (std::size_t first = 0; first < seen.size(); first += 97) {
        double requests = 0;
        double repeats = 0;
        for (std::size_t i = first;
             i < seen.size() && seen[i].first < seen[first].first + 10s; ++i)
            (seen[i].second ? repeats : requests) += 1;
        CHECK(repeats <= ratio * requests + slack);
    }
}

TEST_CASE("an isolated instance stays within its share of the retries",
          "[gateway]")
{
    constexpr std::size_t instances = 85;
    constexpr double slack = 210;
    retry_budget budget(0.2, slack, 10s);
    time_point now{100s};
    const auto repeats = [&](std::size_t heard) {
        std::size_t n = 0;
        while (budget.try_consume("s", heard, now))
            ++n;
        return n;
    };
    const std::size_t own_part = repeats(instances);
    CHECK(static_cast<double>(own_part) <= slack / instances);
    now += 20s;
    CHECK(repeats(2) <= own_part);
}

TEST_CASE(
    "retries of whole requests leave a part of the budget to begun streams",
    "[gateway]")
{
    constexpr std::size_t instances = 85;
    const time_point now{100s};
    retry_budget budget(0.2, 210, 10s);
    for (int n = 0; n < 80; ++n)
        budget.on_request("s", now);
    std::size_t whole = 0;
    while (budget.try_consume("s", instances, now))
        ++whole;
    std::size_t begun = 0;
    while (budget.try_consume("s", instances, now, retry_of::begun_stream))
        ++begun;
    CHECK(begun >= 2);
    CHECK(static_cast<double>(whole + begun) <= 0.2 * 80 + 210.0 / instances);
}

TEST_CASE("a small retry budget may be used by whole requests alone",
          "[gateway]")
{
    retry_budget budget(0, 5, 10s);
    const time_point now{100s};
    std::size_t whole = 0;
    while (budget.try_consume("s", 1, now))
        ++whole;
    CHECK(whole == 4);
    CHECK_FALSE(budget.try_consume("s", 1, now, retry_of::begun_stream));
}

TEST_CASE("a restarted instance uses no fixed allowance of retries at first",
          "[gateway]")
{
    const time_point start{100s};
    retry_budget budget(0.2, 58, 10s, start + 10s);
    CHECK_FALSE(budget.try_consume("s", 1, start + 1s));
    CHECK(budget.try_consume("s", 1, start + 11s));
}

TEST_CASE("a request is blocked after its third crash", "[gateway]")
{
    crash_suspects suspects;
    const time_point now{10s};
    const auto request = crash_suspects::fingerprint_of("POST", "/a", "body");
    CHECK(request != crash_suspects::fingerprint_of("POST", "/a", "other"));
    CHECK(request != crash_suspects::fingerprint_of("POST", "/b", "body"));
    suspects.on_crash(request, "e1@1", now);
    suspects.on_crash(request, "e1@1", now); // reported by two instances
    suspects.on_crash(request, "e1@2", now);
    CHECK_FALSE(suspects.is_blocked(request, now));
    suspects.on_crash(request, "e2@1", now);
    CHECK(suspects.is_blocked(request, now));
    CHECK_FALSE(suspects.is_blocked(request, now + 10min));
}

TEST_CASE("an answer clears a request of suspicion", "[gateway]")
{
    crash_suspects suspects;
    const time_point now{10s};
    const auto request = crash_suspects::fingerprint_of("GET", "/roster", "");
    suspects.on_crash(request, "e1@1", now);
    suspects.on_crash(request, "e2@1", now);
    suspects.on_answer(request, now);
    suspects.on_crash(request, "e3@1", now);
    CHECK_FALSE(suspects.is_blocked(request, now));
}

TEST_CASE("two instances read the store, and others when these fail",
          "[gateway]")
{
    const time_point now{10s};
    std::vector<member_table> tables;
    for (int i = 1; i <= 5; ++i)
        tables.emplace_back("10.0.0." + std::to_string(i), 1,
                            std::vector<std::string>{}, 1);
    const auto meet = [&](std::uint64_t beat) {
        for (auto& to : tables)
            for (auto& from : tables) {
                heartbeat h{from.self(), {}};
                h.self.beat = beat;
                to.on_heartbeat(h, from.self().address, now);
            }
    };
    const auto readers = [&] {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < tables.size(); ++i)
            if (is_store_reader(tables[i], now))
                out.push_back(i);
        return out;
    };
    const auto tellers = [&] {
        return std::ranges::count_if(
            tables, [&](const auto& t) { return is_news_sender(t, now); });
    };
    meet(1);
    const auto first = readers();
    REQUIRE(first.size() == 2);
    CHECK(tellers() == 1);
    for (const auto i : first)
        tables[i].self().store_silent = true;
    meet(2);
    const auto second = readers();
    REQUIRE(second.size() == 2);
    CHECK(second != first);
    CHECK(tellers() == 1);
    for (auto& t : tables)
        t.self().store_silent = true;
    meet(3);
    CHECK(readers().size() == 2);
}

TEST_CASE("an isolated instance reads the store itself", "[gateway]")
{
    const member_table alone("10.0.0.1", 1, {"10.0.0.2"}, 1);
    CHECK(is_store_reader(alone, time_point{10s}));
}

TEST_CASE("a release counts as settled after a while", "[gateway]")
{
    release_table releases;
    const time_point now{10s};
    CHECK(releases.adopt({"m", "a", 2}, now));
    CHECK_FALSE(releases.adopt({"m", "a", 1}, now));
    CHECK(releases.newest("m/a", false, now) == 2);
    CHECK(releases.newest("m/a", true, now) == 0);
    CHECK(releases.newest("m/a", true, now + 4s) == 2);
    CHECK(releases.newest("m/b", false, now) == 0);
}

TEST_CASE("a version stays required while a newer one isn't settled yet",
          "[gateway]")
{
    // Releases 2.9 s apart left no version required, and engines without an
    // owner served the first one for longer than the operators allow.
    release_table releases;
    const time_point now{10s};
    releases.adopt({"m", "a", 2}, now);
    releases.adopt({"m", "a", 3}, now + 2900ms);
    CHECK(releases.newest("m/a", true, now + 2900ms) == 0);
    CHECK(releases.newest("m/a", true, now + 3s) == 2);
    CHECK(releases.newest("m/a", false, now + 3s) == 3);
    CHECK(releases.newest("m/a", true, now + 5800ms) == 2);
    CHECK(releases.newest("m/a", true, now + 5900ms) == 3);
    releases.adopt({"m", "a", 4}, now + 20s);
    CHECK(releases.newest("m/a", true, now + 20s) == 3);
}

TEST_CASE(
    "a request names the version that an engine holds unless it is too old",
    "[gateway]")
{
    // Naming the settled version would make engines that have the next one
    // refuse; naming none would let others serve the one before.
    release_table releases;
    const time_point now{10s};
    releases.adopt({"m", "a", 2}, now);
    CHECK(releases.required("m/a", 1, now) == 0);
    releases.adopt({"m", "a", 3}, now + 4s);
    CHECK(releases.required("m/a", 0, now + 4s) == 2);
    CHECK(releases.required("m/a", 1, now + 4s) == 2);
    CHECK(releases.required("m/a", 2, now + 4s) == 2);
    CHECK(releases.required("m/a", 3, now + 4s) == 3);
    CHECK(releases.required("m/a", 2, now + 7s) == 3);
}

TEST_CASE("the load time estimate rises faster than it falls", "[gateway]")
{
    load_estimate loads;
    const auto before = loads.expected(false);
    loads.on_still_loading(false, 2 * before);
    const auto raised = loads.expected(false);
    CHECK(raised > before);
    CHECK(loads.expected(true) < before);
    for (int i = 0; i < 100; ++i)
        loads.on_load_finished(false, 120ms);
    CHECK(loads.expected(false) < 150ms);
    CHECK(loads.expected(false) >= 120ms);
}
