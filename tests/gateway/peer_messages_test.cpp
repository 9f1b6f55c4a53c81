#include "lovagegate/gateway/peer_messages.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::gateway;

TEST_CASE("a heartbeat is decoded as it was encoded", "[gateway]")
{
    heartbeat h;
    h.self = {"10.0.0.1", 7,  8,    true,
              9,          10, 11,   true,
              "rijeka-a", 12, true, {{"e1", 12, 13ms, 14, 15, 16, 17, 18}}};
    h.others.push_back(
        {"10.0.0.2", 1, 2, false, 3, 4, 5, false, "", 1, false, {}});
    h.contact = access::contact_age{70ms, 2};
    h.self.established = true;
    const auto back = decode(encode(h));
    REQUIRE(back);
    const auto& got = std::get<heartbeat>(*back);
    REQUIRE(got.contact);
    CHECK(got.contact->age == 70ms);
    CHECK(got.contact->hops == 2);
    CHECK(got.self.established);
    CHECK_FALSE(got.others.front().established);
    CHECK(got.self.address == "10.0.0.1");
    CHECK(got.self.beat == 8);
    CHECK(got.self.leaving);
    CHECK(got.self.store_silent);
    CHECK(got.self.failure_domain == "rijeka-a");
    CHECK(got.self.members == 12);
    CHECK(got.self.claims_omitted);
    CHECK(got.self.target_revision == 11);
    REQUIRE(got.self.claims.size() == 1);
    CHECK(got.self.claims.front().since_last_order == 13ms);
    CHECK(got.self.claims.front().kv_permille == 16);
    CHECK(got.self.claims.front().halting_permille == 17);
    CHECK(got.self.claims.front().free_adapter_slots == 18);
    REQUIRE(got.others.size() == 1);
    CHECK(got.others.front().operator_revision == 4);
}

TEST_CASE("requests, replies and store changes are decoded as they were "
          "encoded",
          "[gateway]")
{
    const auto ask =
        decode(encode(adapter_request{5, "e", {"m", "a", 6}, true, 90ms}));
    REQUIRE(ask);
    CHECK(std::get<adapter_request>(*ask).wanted.version == 6);
    CHECK(std::get<adapter_request>(*ask).was_absent);
    CHECK(std::get<adapter_request>(*ask).time_left == 90ms);
    const auto answer =
        decode(encode(adapter_reply{5, "e", adapter_status::expected, 6}));
    REQUIRE(answer);
    CHECK(std::get<adapter_reply>(*answer).status == adapter_status::expected);
    const auto use = decode(encode(adapter_usage{"e", {"m/a"}, 7, 3, 4}));
    REQUIRE(use);
    CHECK(std::get<adapter_usage>(*use).streams == 7);
    CHECK(std::get<adapter_usage>(*use).halting == 3);
    CHECK(std::get<adapter_usage>(*use).open_requests == 4);
    const std::string bytes("\0\xff\x80", 3);
    const auto news = decode(encode(store_changes{
        true, 1, 2, 1500ms, {{"servers/x", 1}}, bytes, {"10.0.0.2"}}));
    REQUIRE(news);
    CHECK(std::get<store_changes>(*news).doubt_left == 1500ms);
    CHECK(std::get<store_changes>(*news).packed == bytes);
    CHECK(std::get<store_changes>(*news).bases.front().key == "servers/x");
}

TEST_CASE("evidence of crashes is decoded as it was encoded", "[gateway]")
{
    // An age that is lost would make an old crash a new one.
    crash_notice notice{"e@1", {{1, 2, {3, 4}}}, true, 1500ms, 700ms};
    const auto told = decode(encode(notice));
    REQUIRE(told);
    const auto& again = std::get<crash_notice>(*told);
    CHECK(again.engine == "e@1");
    CHECK(again.requests.front().prompt_parts ==
          notice.requests[0].prompt_parts);
    CHECK(again.run_ended);
    CHECK(again.since_break == 1500ms);
    CHECK(again.since_end == 700ms);
    const auto digest = decode(
        encode(crash_digest{{~0ULL, 5}, crash_digest::purpose::question}));
    REQUIRE(digest);
    CHECK(std::get<crash_digest>(*digest).crashes ==
          std::vector<fingerprint>{~0ULL, 5});
    CHECK(std::get<crash_digest>(*digest).use ==
          crash_digest::purpose::question);
    const auto answered =
        decode(encode(answered_prompt_parts{{7}, 300ms, {8, 9}}));
    REQUIRE(answered);
    CHECK(std::get<answered_prompt_parts>(*answered).age == 300ms);
    CHECK(std::get<answered_prompt_parts>(*answered).requests ==
          std::vector<fingerprint>{8, 9});
}

TEST_CASE("a keepalive of a reader is decoded as it was encoded", "[gateway]")
{
    const auto keepalive =
        decode(encode(reader_keepalive{"10.0.0.1", {"10.0.0.2"}}));
    REQUIRE(keepalive);
    CHECK(std::get<reader_keepalive>(*keepalive).reader == "10.0.0.1");
    CHECK(std::get<reader_keepalive>(*keepalive).relay_to ==
          std::vector<std::string>{"10.0.0.2"});
}

// A field that is lost or swapped on the way would admit requests under
// another number, so that the owner's counts drift from the engine's.
TEST_CASE("messages of the admission to engines are decoded as they were "
          "encoded",
          "[gateway]")
{
    const auto ask =
        decode(encode(run_request{~0ULL, "e", 3, 400, 900, 500ms, true, true}));
    REQUIRE(ask);
    const auto& asked = std::get<run_request>(*ask);
    CHECK(asked.number == ~0ULL);
    CHECK(asked.engine == "e");
    CHECK(asked.priority == 3);
    CHECK(asked.prompt_tokens == 400);
    CHECK(asked.all_tokens == 900);
    CHECK(asked.objective == 500ms);
    CHECK(asked.must_run);
    CHECK(asked.waits_for_adapter);
    const auto reply =
        decode(encode(run_reply{7, "e", run_verdict::refused, 28, 27}));
    REQUIRE(reply);
    const auto& answered = std::get<run_reply>(*reply);
    CHECK(answered.number == 7);
    CHECK(answered.engine == "e");
    CHECK(answered.verdict == run_verdict::refused);
    CHECK(answered.open_requests == 28);
    CHECK(answered.usable_slots == 27);
    const auto update = decode(encode(run_update{
        {{"e", 7, run_event::begun, 80ms}, {"f", 8, run_event::sent, {}}}}));
    REQUIRE(update);
    const auto& entries = std::get<run_update>(*update).entries;
    REQUIRE(entries.size() == 2);
    CHECK(entries.front().engine == "e");
    CHECK(entries.front().number == 7);
    CHECK(entries.front().event == run_event::begun);
    CHECK(entries.front().first_event_time == 80ms);
    CHECK(entries.back().event == run_event::sent);
}

TEST_CASE("revisions keep their eras between instances", "[gateway]")
{
    heartbeat h;
    h.self.operator_revision = {10, 2};
    h.self.target_revision = {11, 3};
    const auto beat = decode(encode(h));
    REQUIRE(beat);
    CHECK(std::get<heartbeat>(*beat).self.operator_revision ==
          store_revision(10, 2));
    CHECK(std::get<heartbeat>(*beat).self.target_revision ==
          store_revision(11, 3));
    store_changes changes;
    changes.after = {4, 2};
    changes.revision = {1, 3};
    changes.bases = {{"servers/x", {7, 2}}};
    const auto news = decode(encode(changes));
    REQUIRE(news);
    CHECK(std::get<store_changes>(*news).after == changes.after);
    CHECK(std::get<store_changes>(*news).revision == changes.revision);
    CHECK(std::get<store_changes>(*news).bases.front().revision ==
          store_revision(7, 2));
}

TEST_CASE("messages about crashes are decoded as they were encoded",
          "[gateway]")
{
    const auto notice =
        decode(encode(crash_notice{"e@1", {{5, 4, {6, 7}}, {8, 3, {}}}, true}));
    REQUIRE(notice);
    const auto& n = std::get<crash_notice>(*notice);
    CHECK(n.engine == "e@1");
    REQUIRE(n.requests.size() == 2);
    CHECK(n.requests.front().request == 5);
    CHECK(n.requests.front().request_and_prompt == 4);
    CHECK(n.requests.front().prompt_parts == std::vector<fingerprint>{6, 7});
    CHECK(n.requests.back().prompt_parts.empty());
    CHECK(n.run_ended);
    const auto answered = decode(encode(answered_prompt_parts{{8, 9}}));
    REQUIRE(answered);
    CHECK(std::get<answered_prompt_parts>(*answered).parts.size() == 2);
    const auto blocked =
        decode(encode(blocked_prompt_parts{{{10, 12ms, 11ms, true, 2, 5ms}}}));
    REQUIRE(blocked);
    const auto& entry = std::get<blocked_prompt_parts>(*blocked).parts.front();
    CHECK(entry.part == 10);
    CHECK(entry.since_first_crash == 12ms);
    CHECK(entry.since_last_crash == 11ms);
    CHECK(entry.in_doubt);
    CHECK(entry.trials == 2);
    CHECK(entry.since_last_trial == 5ms);
}

TEST_CASE("a blocked prompt part of an earlier version is not in doubt",
          "[gateway]")
{
    std::string datagram;
    nlohmann::json::to_cbor(
        nlohmann::json::array({9, {nlohmann::json::array({10, 12, 11})}}),
        nlohmann::detail::output_adapter<char>(datagram));
    const auto blocked = decode(datagram);
    REQUIRE(blocked);
    const auto& entry = std::get<blocked_prompt_parts>(*blocked).parts.front();
    CHECK(entry.part == 10);
    CHECK_FALSE(entry.in_doubt);
}

TEST_CASE("a target's limit, and its end, can be told", "[gateway]")
{
    const auto limit =
        GENERATE(std::optional<double>(1.3), std::optional<double>());
    const auto told = decode(encode(limit_notice{"t", 7, limit, 3ms}));
    REQUIRE(told);
    const auto& n = std::get<limit_notice>(*told);
    CHECK(n.target == "t");
    CHECK(n.started_ms == 7);
    CHECK(n.per_second == limit);
    CHECK(n.age == 3ms);
}

TEST_CASE("a crash notice of an earlier version is decoded", "[gateway]")
{
    std::string datagram;
    nlohmann::json::to_cbor(nlohmann::json::array({5, 42, "e@1"}),
                            nlohmann::detail::output_adapter<char>(datagram));
    const auto notice = decode(datagram);
    REQUIRE(notice);
    const auto& n = std::get<crash_notice>(*notice);
    CHECK(n.engine == "e@1");
    REQUIRE(n.requests.size() == 1);
    CHECK(n.requests.front().request == 42);
    CHECK_FALSE(n.run_ended);
}

TEST_CASE("arbitrary and corrupted datagrams are decoded or rejected",
          "[gateway]")
{
    CHECK(rc::check([](const std::string& bytes) { (void)decode(bytes); }));
    CHECK(rc::check([] {
        heartbeat h;
        h.self = {"10.0.0.1", 1, 2, false, 3, 4, 5, false, "z", 1, false, {}};
        h.self.claims = {{"e", 1, 1ms, 1, 1, 1, 1, 1}};
        auto bytes = encode(h);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
        (void)decode(bytes);
    }));
}

TEST_CASE("a deeply nested datagram is rejected", "[gateway]")
{
    constexpr std::size_t depth = 60000;
    constexpr char array_of_one = '\x81';
    CHECK_FALSE(decode(std::string(depth, array_of_one)));
    CHECK_FALSE(decode(std::string(depth, array_of_one) + '\x01'));
}

TEST_CASE("an instance of an earlier version counts as having found the others",
          "[gateway]")
{
    // Otherwise an instance that joins it would never count as having found
    // any, and name numbers in all orders.
    heartbeat h;
    h.self.address = "10.0.0.1";
    auto message = nlohmann::json::from_cbor(encode(h));
    auto& record = message.at(1);
    // Earlier versions end with the revisions' eras.
    constexpr std::size_t earlier_size = 14;
    REQUIRE(record.size() > earlier_size);
    while (record.size() > earlier_size)
        record.erase(record.size() - 1);
    std::string datagram;
    nlohmann::json::to_cbor(message, datagram);
    const auto back = decode(datagram);
    REQUIRE(back);
    CHECK(std::get<heartbeat>(*back).self.established);
}
