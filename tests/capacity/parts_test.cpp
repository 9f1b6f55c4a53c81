#include "lovagegate/capacity/attempt_age.hpp"
#include "lovagegate/capacity/coordinator_choice.hpp"
#include "lovagegate/capacity/engine_memory.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::capacity;
using namespace lovagegate::gateway;

// Guards against a late request that is served as if it had just been made,
// because its caller has come back with a new attempt.
TEST_CASE("an attempt with less time left than others is older", "[capacity]")
{
    attempt_age ages;
    time_point now(10s);
    CHECK(ages.observe(1, 4s, now) == 0ms);
    CHECK(ages.observe(1, 3300ms, now) == 700ms);
    CHECK(ages.observe(2, 3300ms, now) == 0ms);
    // Callers have been given a shorter deadline.
    now += 61s;
    CHECK(ages.observe(1, 2s, now) == 0ms);
}

// Guards against a coordinator with a tenth of a core, and against all services
// at one instance.
TEST_CASE("stronger instances coordinate, each some services", "[capacity]")
{
    std::vector<coordinator_candidate> all;
    all.reserve(41);
    for (int i = 0; i < 40; ++i)
        all.push_back(
            {"10.0.0." + std::to_string(i),
             i % 2 == 0 ? 90U : 250U + 10U * static_cast<unsigned>(i) / 4U});
    all.push_back({"old", 0});
    std::set<std::string> chosen;
    for (int s = 0; s < 100; ++s) {
        const auto c = choose_coordinator("s" + std::to_string(s), all);
        const auto at =
            std::ranges::find(all, c, &coordinator_candidate::address);
        REQUIRE(at != all.end());
        CHECK(at->cpu_permille >= 250);
        chosen.emplace(c);
    }
    CHECK(chosen.size() > 10);
}

// Guards against an instance that takes a message of a permit for another one.
TEST_CASE("messages of permits are decoded as they were encoded", "[capacity]")
{
    const place_request r{"s",
                          5,
                          2,
                          7,
                          8,
                          -3ms,
                          90ms,
                          false,
                          4,
                          50ms,
                          {{9, permit_outcome::rejected, 11ms}}};
    const auto request = std::get<place_request>(*decode(encode(r)));
    CHECK(request.service == "s");
    CHECK(request.number == 5);
    CHECK(request.priority == 2);
    CHECK(request.workspace == 7);
    CHECK(request.kind == 8);
    CHECK(request.objective_left == -3ms);
    CHECK(request.deadline_left == 90ms);
    CHECK_FALSE(request.needs_no_permit);
    CHECK(request.unpermitted == 4);
    CHECK(request.unpermitted_run_time == 50ms);
    REQUIRE(request.released.size() == 1);
    CHECK(request.released.front().number == 9);
    CHECK(request.released.front().outcome == permit_outcome::rejected);
    CHECK(request.released.front().run_time == 11ms);
    const auto grant = std::get<place_grant>(*decode(
        encode(place_grant{6, place_answer::waiting, "t", 12ms, 13ms})));
    CHECK(grant.number == 6);
    CHECK(grant.answer == place_answer::waiting);
    CHECK(grant.target == "t");
    CHECK(grant.expected_wait == 12ms);
    CHECK(grant.no_request_for == 13ms);
    const auto refusal = std::get<place_refusal>(
        *decode(encode(place_refusal{7, 14ms, place_refusal_reason::late})));
    CHECK(refusal.number == 7);
    CHECK(refusal.retry_after == 14ms);
    CHECK(refusal.reason == place_refusal_reason::late);
    const auto release = std::get<place_release>(*decode(
        encode(place_release{"s", {{8, permit_outcome::answered, 15ms}}})));
    CHECK(release.service == "s");
    REQUIRE(release.entries.size() == 1);
    CHECK(release.entries.front().run_time == 15ms);
}

// Guards against the request that overflows an engine's memory: 48 queued
// drafts of 2,368 tokens exceed 84,665.
TEST_CASE("an engine has no room for more tokens than its memory", "[capacity]")
{
    engine_memory memory;
    const time_point now(10s);
    const engine_memory::demand draft{2368, 84665, 16};
    CHECK(memory.has_room("e", "s", draft, now));
    int sent = 0;
    for (; memory.has_room("e", "s", draft, now); ++sent)
        memory.on_sent("e", "s", draft.tokens, now);
    CHECK(sent == 30); // 0.85 of the memory
    // The report tells that the requests wait; their tokens aren't in use yet.
    engine_claim claim;
    claim.engine = "e";
    claim.running = 16;
    claim.waiting = 14;
    claim.kv_permille = 400;
    memory.on_report(claim, now);
    CHECK_FALSE(memory.has_room("e", "s", draft, now));
    claim.waiting = 0;
    memory.on_report(claim, now);
    CHECK(memory.has_room("e", "s", draft, now));
    claim.kv_permille = 840;
    memory.on_report(claim, now);
    CHECK_FALSE(memory.has_room("e", "s", draft, now));
    // An old report says nothing.
    CHECK(memory.has_room("e", "s", draft, now + 5s));
}

// Guards against requests that an engine rejects because its queue is full.
TEST_CASE("an engine has no room beyond its queue", "[capacity]")
{
    engine_memory memory;
    const time_point now(10s);
    engine_claim claim;
    claim.engine = "e";
    claim.running = 16;
    claim.waiting = 47;
    memory.on_report(claim, now);
    const engine_memory::demand small{10, 84665, 16};
    CHECK(memory.has_room("e", "s", small, now));
    memory.on_sent("e", "s", 10, now);
    CHECK_FALSE(memory.has_room("e", "s", small, now));
}
