#include "platform/published.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::platform_wire;

TEST_CASE("parse_config reads routes, services and limits", "[platform_wire]")
{
    const auto c = parse_config(R"({"version":7,"routes":[
        {"name":"r","host":"h","prefix":"/p/","kind":"streaming",
         "timeoutMs":12000,"targetLatencyMs":500,"priority":1,
         "trafficSplit":[{"service":"a","weight":90},
                         {"service":"b","weight":10}],
         "maxAttempts":2,"sessionAffinity":true,"resumable":true,
         "gapAimMs":250}, "not a route"],
        "services":[{"name":"a","healthCheckPath":"/health",
          "maxConnections":370,"engine":{"slots":64,"weightsSize":16800.0,
          "adapterSlots":29,"loadsPerS":4.3,
          "models":[{"name":"m","weightsSize":16100.5,"loadTimeS":0.6,
                     "adapterMb":14.0}]}}],
        "limits":{"maxHeaderBytes":1000,"idleTimeoutMs":5000}})");
    CHECK(c.version == 7);
    REQUIRE(c.routes.size() == 1);
    const auto& r = c.routes.front();
    CHECK(r.repeats == gateway::repeat_rule::stream);
    CHECK(r.resumable);
    CHECK(r.timeout == 12s);
    CHECK(r.services.size() == 2);
    REQUIRE(c.services.size() == 1);
    REQUIRE(c.services.front().engine);
    CHECK(c.services.front().engine->models.front().load_time == 600ms);
    CHECK(c.limits.head_bytes == 1000);
    CHECK(c.limits.idle_timeout == 5s);
}

TEST_CASE("a route of an unknown kind runs at most once", "[platform_wire]")
{
    const auto c =
        parse_config(R"({"version":1,"routes":[{"name":"r","kind":"new"}]})");
    CHECK(c.routes.front().repeats == gateway::repeat_rule::at_most_once);
}

TEST_CASE("invalid target entries are rejected", "[platform_wire]")
{
    const std::string key = "servers/i-1";
    CHECK(parse_target(key, R"({"service":"s","address":"10.0.0.1:80",
        "state":"ready","slots":6,"born":17})"));
    const auto text = GENERATE(
        R"({"service":7,"address":"10.0.0.1:80","state":"ready"})",
        R"({"service":"s","address":"nowhere","state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","state":"odd"})",
        R"({"address":"10.0.0.1:80","state":"ready"})", R"([1,2])",
        R"({"service":"s","address":"10.0.0.1:65536","state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:0","state":"ready"})",
        R"({"service":"s","address":"[::1]:80","state":"ready"})", "\xff\xfe",
        "");
    CHECK_FALSE(parse_target(key, text));
}

TEST_CASE("a target entry with a number of a wrong type or out of range is "
          "rejected",
          "[platform_wire]")
{
    const std::string field =
        GENERATE("slots", "born", "sequence", "remainingMs");
    const std::string number = GENERATE("\"many\"", "-1", "1e300", "1e999",
                                        "99999999999999999999", "[]", "null");
    CAPTURE(field, number);
    CHECK_FALSE(
        parse_target("servers/i-1", R"({"service":"s","address":"10.0.0.1:80",)"
                                    R"("state":"ready",")" +
                                        field + "\":" + number + '}'));
}

TEST_CASE("a deeply nested value is rejected", "[platform_wire]")
{
    constexpr std::size_t depth = 100000;
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    const std::string entry = R"({"service":"s","address":"10.0.0.1:80",)"
                              R"("state":"ready","version":1,"x":)" +
                              nested + '}';
    CHECK_FALSE(parse_target("servers/i-1", entry));
    CHECK_FALSE(parse_release(entry));
    CHECK_THROWS_AS(parse_config(entry), published_error);
    CHECK_THROWS_AS(parse_report(entry), published_error);
}

TEST_CASE("times that are out of range don't overflow", "[platform_wire]")
{
    const auto c =
        parse_config(R"({"version":1,"routes":[{"name":"r","timeoutMs":1e300,)"
                     R"("gapAimMs":-5}]})");
    CHECK(c.routes.front().timeout > 24h);
    CHECK(c.routes.front().timeout + time_point::duration(1h) > 24h);
    CHECK(c.routes.front().max_event_gap == 0s);
}

TEST_CASE("an order for an adapter whose name is not UTF-8 can be written",
          "[platform_wire]")
{
    CHECK_FALSE(write_order({true, "m", "\xff", 3, "n1", 41}).empty());
}

TEST_CASE("optional fields of a wrong type are ignored", "[platform_wire]")
{
    const auto t = parse_target("servers/i-1", R"({"service":"s",
        "address":"10.0.0.1:80","state":"draining","zone":7,
        "models":[3,{"name":"m","adapters":[1,"a@2"]}],"remainingMs":1500})");
    REQUIRE(t);
    CHECK(t->slots == 1);
    CHECK(t->leaving);
    CHECK(t->leaves_in == 1500ms);
    CHECK(t->models.front().adapters.size() == 1);
}

TEST_CASE("values are decoded and tombstones recognized", "[platform_wire]")
{
    const auto r = parse_watch(R"({"events":[
        {"key":"a","value":"bm9kZS0x","revision":412,"created":4,"lease":0},
        {"key":"b","revision":413,"tombstone":true},
        {"key":"c","value":"***","revision":414}],"currentRev":414})",
                               3);
    REQUIRE(r.items.size() == 3);
    CHECK(r.items[0].value == "node-1");
    CHECK(r.items[1].deleted);
    CHECK(r.items[2].value.empty());
    CHECK(r.items[1].revision == gateway::store_revision(413, 3));
    CHECK(r.revision == gateway::store_revision(414, 3));
    CHECK_THROWS_AS(parse_watch(R"({"events":[]})", 0), published_error);
    CHECK_THROWS_AS(parse_range("oops", 0), published_error);
}

TEST_CASE("the era of the store is a number", "[platform_wire]")
{
    net::message_head head;
    CHECK(read_store_era(head) == 0);
    head.headers.push_back({"store-era", "12"});
    CHECK(read_store_era(head) == 12);
    for (const std::string text :
         {"", "-1", "x", "2 ", "1.5", "99999999999999999999"}) {
        CAPTURE(text);
        head.headers.front().value = text;
        CHECK_THROWS_AS(read_store_era(head), published_error);
    }
}

TEST_CASE("paths of store requests are percent-encoded", "[platform_wire]")
{
    CHECK(range_path("op/", "op/a b") ==
          "/-/kv-range?prefix=op/&after=op/a%20b");
    CHECK(watch_path("servers/", 5, 2500ms) ==
          "/-/kv-watch?prefix=servers/&after=5&waitMs=2500");
}

TEST_CASE("an order contains holder and fencing token", "[platform_wire]")
{
    const auto text = write_order({true, "m", "a", 3, "n1", 41});
    CHECK(text == R"({"adapter":"a","fencingToken":41,"holder":"n1",)"
                  R"("model":"m","operation":"load","version":3})");
}

TEST_CASE("an order may contain the expected number of previous orders",
          "[platform_wire]")
{
    const auto text = write_order({false, "m", "a", 0, "n1", 41, 0});
    CHECK(text == R"({"adapter":"a","expect":0,"fencingToken":41,)"
                  R"("holder":"n1","model":"m","operation":"unload"})");
    CHECK(parse_report(R"({"sequence":7})").sequence == 7);
}

TEST_CASE("parsers of arbitrary bytes throw only published_error",
          "[platform_wire]")
{
    CHECK(rc::check([](const std::string& bytes) {
        (void)parse_target("servers/x", bytes);
        (void)parse_release(bytes);
        for (const auto read :
             {+[](std::string_view b) { (void)parse_range(b, 0); },
              +[](std::string_view b) { (void)parse_config(b); },
              +[](std::string_view b) { (void)parse_report(b); }}) {
            try {
                read(bytes);
            } catch (const published_error&) {
                continue; // the only exception allowed
            }
        }
    }));
}
