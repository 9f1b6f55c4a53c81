#include "lovagegate/ticket/ticket_parser.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <tuple>

using namespace lovagegate;
using namespace lovagegate::ticket;

TEST_CASE("a ticket with every kind of object is parsed", "[ticket]")
{
    const change_ticket t = parse(R"({"ticket": 7,
        "services": {"gate": {"group": "zapisnik-lm", "priority": "interactive",
            "max_open": 40}, "hours": {"group": "smjena-app", "routes": [
            {"method": "POST", "path": "/signoff", "idempotent": false},
            {"method": "GET", "path": "/roster/*", "idempotent": true,
             "priority": "normal"}]}, "old": null},
        "adapters": {"dock-7": {"model": "base", "versions": ["2", "1"],
            "services": ["gate"]}},
        "targets": {"e1": {"group": "zapisnik-lm", "kind": "engine",
            "address": "192.0.2.1", "port": 8000, "failure_domain": "split-b",
            "model": "base", "slots": 4, "checks_fencing": true},
            "p1": {"group": "smjena-app", "kind": "plain",
            "address": "192.0.2.2", "port": 9000, "failure_domain": "split-b",
            "state": "leaving"}},
        "stores": {"main": {"loads_per_second": 4, "at_full_speed": 2,
            "in_transit": 16}}})");
    CHECK(t.number == 7);
    CHECK(t.services.at(service_id("hours"))->routes.at(1).idempotent);
    CHECK_FALSE(t.services.at(service_id("old")));
    CHECK(t.adapters.at("dock-7")->versions.front() == "2");
    CHECK(t.targets.at(target_id("e1"))->checks_fencing);
    CHECK(t.targets.at(target_id("p1"))->leaving);
    CHECK(t.stores.at("main")->in_transit == 16);
}

TEST_CASE("each kind of parse failure is reported with its path", "[ticket]")
{
    using enum parse_failure;
    const auto [text, failure, path] =
        GENERATE(table<std::string, parse_failure, std::string>({
            {"", not_json, ""},
            {"{\"ticket\":1,", not_json, ""},
            {"{\"ticket\":1,\"adapters\":{\"\xff\":null}}", not_json, ""},
            {"[]", wrong_type, ""},
            {R"({"adapters":{"a":null}})", missing_key, "/ticket"},
            {R"({"ticket":0,"adapters":{"a":null}})", out_of_range, "/ticket"},
            {R"({"ticket":-1,"adapters":{"a":null}})", out_of_range, "/ticket"},
            {R"({"ticket":"1","adapters":{"a":null}})", wrong_type, "/ticket"},
            {R"({"ticket":1})", empty, ""},
            {R"({"ticket":1,"adapter":{"a":null}})", unknown_key, "/adapter"},
            {R"({"ticket":1,"ticket":2,"adapters":{"a":null}})", duplicate_key,
             "/ticket"},
            {R"({"ticket":1,"adapters":{"a b":null}})", bad_value,
             "/adapters/a b"},
            {R"({"ticket":1,"adapters":{"a":{"model":"m","versions":[]}}})",
             out_of_range, "/adapters/a/versions"},
            {R"({"ticket":1,"adapters":{"a":{"model":"m",
                "versions":["1","1"]}}})",
             bad_value, "/adapters/a/versions/1"},
            {R"({"ticket":1,"targets":{"t":{"group":"g","model":"m","port":1,
                "failure_domain":"d","address":"localhost"}}})",
             bad_value, "/targets/t/address"},
        }));
    CAPTURE(text);
    try {
        (void)parse(text);
        FAIL("was not refused");
    } catch (const parse_error& e) {
        CHECK(e.failure() == failure);
        CHECK(e.path() == path);
    }
}

TEST_CASE("a ticket over 1 MB is refused before it is parsed", "[ticket]")
{
    const std::string text(max_ticket_bytes + 1, ' ');
    CHECK_THROWS_AS((void)parse(text), parse_error);
}

TEST_CASE("damaged tickets cause no error other than parse_error", "[ticket]")
{
    const std::string good = R"({"ticket":1,"adapters":{"a":{"model":"m",
        "versions":["1"]}},"stores":{"s":{"in_transit":3}}})";
    CHECK(rc::check("a damaged ticket is read or refused", [&] {
        std::string text = good;
        const auto edits =
            *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, good.size()),
                              rc::gen::arbitrary<char>()));
        for (const auto& [at, c] : edits)
            text[at] = c;
        try {
            (void)parse(text);
        } catch (const parse_error&) {
        }
    }));
}
