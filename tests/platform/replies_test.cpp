#include "lovagegate/platform/replies.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::platform;

TEST_CASE("parse_tickets decodes base64 values", "[platform]")
{
    const auto p =
        parse_tickets(7, R"([{"Key":"tickets/1","Value":"eyJ0aWNrZXQiOjF9"},
               {"Key":"tickets/2","Value":"YQ=="}])");
    CHECK(p.index == 7);
    CHECK(p.tickets == std::vector<std::string>{R"({"ticket":1})", "a"});
}

TEST_CASE("a malformed response of the platform throws reply_error",
          "[platform]")
{
    CHECK_THROWS_AS(parse_tickets(1, "{}"), reply_error);
    CHECK_THROWS_AS(parse_tickets(1, R"([{"Value":"a"}])"), reply_error);
    CHECK_THROWS_AS(parse_tickets(1, R"([{"Value":"*&^%"}])"), reply_error);
    CHECK_THROWS_AS(parse_instances(1, R"([{"Service":{"ID":"a"}}])"),
                    reply_error);
    CHECK_THROWS_AS(
        parse_instances(1, R"([{"Service":{"ID":"a","Address":"127.0.0.1",
                               "Meta":{"peer_port":"x"}}}])"),
        reply_error);
    CHECK_THROWS_AS(
        parse_instances(1, R"([{"Service":{"ID":"a","Address":"127.0.0.1",
                               "Meta":{"peer_port":"70000"}}}])"),
        reply_error);
}

TEST_CASE("an instance with the phase leaving is marked as leaving",
          "[platform]")
{
    const auto l = parse_instances(
        3, R"([{"Service":{"ID":"a","Address":"127.0.0.1","Port":80,
               "Meta":{"peer_port":"81","failure_domain":"split-b",
                       "phase":"leaving"}}}])");
    REQUIRE(l.instances.size() == 1);
    CHECK(l.instances[0].leaving);
    CHECK(l.instances[0].peer_port == 81);
    CHECK(l.instances[0].domain == failure_domain{"split-b"});
}
