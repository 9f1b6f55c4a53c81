#include "lovagegate/access/caller_identity.hpp"
#include "platform/http_fields.hpp"
#include "platform/published.hpp"
#include "platform/workspaces.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::platform_wire;

namespace {

/// @param list the workspaces
gateway::site_config config_with(const std::string& list)
{
    return parse_config(R"({"version":1,"tenants":)" + list + '}');
}

/// @param first a workspace without a fault
std::string error_of(const std::string& second)
{
    try {
        (void)config_with(R"([{"name":"a","apiKeys":["SECRET"]},)" + second +
                          ']');
    } catch (const published_error& e) {
        return e.what();
    }
    return "none";
}

net::message_head head_of(std::vector<net::message_header> headers)
{
    net::message_head h;
    h.method = "GET";
    h.target = "/";
    h.headers = std::move(headers);
    return h;
}

} // namespace

TEST_CASE("parse_config reads workspaces and anonymous routes",
          "[platform_wire]")
{
    const auto c = parse_config(R"({"version":1,
        "routes":[{"name":"r","anonymous":true},{"name":"s"}],
        "tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":0,
                    "unit":"tokens","plainTokens":1e300,"ratePerS":4200.5,
                    "burst":0},
                   {"name":"b"}]})");
    CHECK(c.routes.front().anonymous);
    CHECK_FALSE(c.routes.back().anonymous);
    REQUIRE(c.workspaces);
    REQUIRE(c.workspaces->size() == 2);
    const auto& a = c.workspaces->front();
    CHECK(a.name == "a");
    CHECK(a.keys ==
          std::vector{access::digest_of("k1"), access::digest_of("k2")});
    CHECK(a.rank == 0U);
    CHECK(a.unit == gateway::quota_unit::tokens);
    CHECK(a.plain_tokens == access::max_request_tokens);
    CHECK(a.rate_per_s == 4200.5);
    const auto& b = c.workspaces->back();
    CHECK_FALSE(b.rank);
    CHECK(b.unit == gateway::quota_unit::requests);
    CHECK(b.rate_per_s == 0);
    CHECK_FALSE(parse_config(R"({"version":1})").workspaces);
    CHECK_FALSE(config_with("null").workspaces);
    // Nobody has a key; serving everybody would be the opposite.
    CHECK(config_with("[]").workspaces);
}

TEST_CASE("an error in a workspace names its location and never a key",
          "[platform_wire]")
{
    const auto [text, location] = GENERATE(table<std::string, std::string>(
        {{R"(7)", "tenants[1]: "},
         {R"({"apiKeys":[]})", "tenants[1].name: "},
         {R"({"name":"x\r\ny"})", "tenants[1].name: "},
         {R"({"name":"a"})", "tenants[1].name: "},
         {R"({"name":"b","apiKeys":"SECRET"})", "tenants[1].apiKeys: "},
         {R"({"name":"b","apiKeys":["k",{"digest":"SECRET"}]})",
          "tenants[1].apiKeys[1]: "},
         {R"({"name":"b","apiKeys":["k","SECRET"]})",
          "tenants[1].apiKeys[1]: "},
         {R"({"name":"b","ratePerS":-1})", "tenants[1].ratePerS: "},
         {R"({"name":"b","ratePerS":"SECRET"})", "tenants[1].ratePerS: "},
         {R"({"name":"b","burst":-0.5})", "tenants[1].burst: "},
         {R"({"name":"b","burst":null})", "tenants[1].burst: "},
         {R"({"name":"b","plainTokens":-1})", "tenants[1].plainTokens: "},
         {R"({"name":"b","unit":"SECRET"})", "tenants[1].unit: "},
         {R"({"name":"b","priority":10})", "tenants[1].priority: "},
         {R"({"name":"b","priority":-1})", "tenants[1].priority: "},
         {R"({"name":"b","priority":2.5})", "tenants[1].priority: "}}));
    CAPTURE(text);
    const std::string error = error_of(text);
    CHECK(error.find(location + "expected ") == 0);
    CHECK(error.find(", found ") != std::string::npos);
    CHECK(error.find("SECRET") == std::string::npos);
    CHECK_THROWS_AS(config_with(R"({"a":"b"})"), published_error);
}

TEST_CASE("the store's answers are read without the keys, which would be sent "
          "to other instances",
          "[platform_wire]")
{
    // {"version":1,"tenants":[{"name":"a","apiKeys":["SECRET"]}]}
    const auto item =
        parse_range(R"({"currentRev":9,"items":[{"key":"op/config",)"
                    R"("revision":9,"value":"eyJ2ZXJzaW9uIjoxLCJ0ZW5hbnRzIjpb)"
                    R"(eyJuYW1lIjoiYSIsImFwaUtleXMiOlsiU0VDUkVUIl19XX0="}]})",
                    0)
            .items.at(0);
    CHECK(item.value.find("SECRET") == std::string::npos);
    CHECK(parse_config(item.value).workspaces->front().keys ==
          std::vector{access::digest_of("SECRET")});
    CHECK(hide_keys(R"({"a":{"apiKeys":{"b":["SECRET"]}}})").find("SECRET") ==
          std::string::npos);
    CHECK(hide_keys(R"({"apiKeys":"SECRET)").empty());
    const std::string without = R"({ "version": 1, "x": "\n" })";
    CHECK(hide_keys(without) == without);
}

TEST_CASE("token counts that are missing, malformed or negative aren't usable, "
          "and large ones don't overflow",
          "[platform_wire]")
{
    const auto count = [](std::string text) {
        return read_request(head_of({{"X-Token-Counts", std::move(text)}}))
            .token_count;
    };
    CHECK(count("1460, 80") == 1540U);
    CHECK(count("4294967295,1") == 10'000'000U);
    CHECK(count("9,99999999999999999999999") == 10'000'000U);
    for (const char* const text : {"", "1460", "a,1", "1,-1", "-1,1", "1,",
                                   "1.5,1", "1,2,3", "+1,1", "1e3,1"})
        CHECK_FALSE(count(text));
    CHECK_FALSE(read_request(head_of({{"X-Token-Counts", "1,1"},
                                      {"x-token-counts", "2,2"}}))
                    .token_count);
    CHECK_FALSE(read_request(head_of({})).token_count);
}

TEST_CASE("a target gets the workspace's name instead of the key and of the "
          "caller's own copy",
          "[platform_wire]")
{
    const auto head = head_of({{"x-key", "SECRET"},
                               {"X-KEY", "SECRET"},
                               {"x-tenant-name", "forged"},
                               {"Connection", "X-Tenant-Name"}});
    CHECK(read_request(head).key == "SECRET");
    CHECK(read_request(head).key_repeated);
    gateway::target_fields fields;
    fields.workspace = "a";
    const std::string named = write_target_head(head, fields, std::nullopt);
    CHECK(named.find("SECRET") == std::string::npos);
    CHECK(named.find("forged") == std::string::npos);
    CHECK(named.find("X-Tenant-Name: a\r\n") != std::string::npos);
    fields.workspace = "";
    CHECK(write_target_head(head, fields, std::nullopt).find("enant") ==
          std::string::npos);
    // Without workspaces in the configuration nothing changes.
    fields.workspace.reset();
    CHECK(write_target_head(head, fields, std::nullopt).find("SECRET") !=
          std::string::npos);
}
