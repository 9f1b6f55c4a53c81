#include "lovagegate/pace/admission_client.hpp"

#include "lovagegate/pace/engine_gates.hpp"
#include "lovagegate/pace/run_permit.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::pace;
using namespace lovagegate::gateway;

namespace {

using kind = admission_answer::kind;

/// A client whose messages and answers are recorded.
struct client_run
{
    std::uint64_t ask(const std::string& owner)
    {
        return client.ask(
            owner, {0, "e", 3, 1000, 1500, 600ms, false}, now,
            [this](const admission_answer& a) { answers.push_back(a.result); });
    }

    void reply(std::uint64_t number, run_verdict verdict,
               const std::string& from = "10.0.0.9")
    {
        client.on_reply(from, {number, "e", verdict, 5, 27}, now);
    }

    /// @return entries of all updates sent to an owner
    [[nodiscard]] std::vector<run_update::entry>
    updates(const std::string& to) const
    {
        std::vector<run_update::entry> out;
        for (const auto& [address, m] : sent)
            if (const auto* u = std::get_if<run_update>(&m);
                u != nullptr && address == to)
                out.insert(out.end(), u->entries.begin(), u->entries.end());
        return out;
    }

    time_point now{10s};
    std::vector<std::pair<std::string, peer_message>> sent;
    std::vector<kind> answers;
    admission_client client{
        100, [this](const std::string& to, const peer_message& m) {
            sent.emplace_back(to, m);
        }};
};

} // namespace

// Waiting for an owner that has ended would hold each request until its
// deadline, and asking it again would cost each one the timeout.
TEST_CASE("without an answer in 40 ms requests go on and the owner isn't asked",
          "[pace]")
{
    client_run r;
    r.ask("10.0.0.9");
    r.now += 39ms;
    r.client.tick(r.now);
    CHECK(r.answers.empty());
    REQUIRE(r.client.next_action());
    CHECK(*r.client.next_action() == time_point(10s) + 40ms);
    r.now += 1ms;
    r.client.tick(r.now);
    CHECK(r.answers == std::vector{kind::unanswered});
    CHECK(r.client.is_silent("10.0.0.9", r.now));
    CHECK_FALSE(r.client.is_silent("10.0.0.8", r.now));
    CHECK_FALSE(r.client.is_silent("10.0.0.9", r.now + 1s));
}

// A frozen owner answers late: its admission would hold a slot that nobody
// uses.
TEST_CASE("a late or cancelled admission is returned", "[pace]")
{
    client_run r;
    const auto late = r.ask("10.0.0.9");
    r.now += 40ms;
    r.client.tick(r.now);
    const auto cancelled = r.ask("10.0.0.9");
    r.client.cancel(cancelled);
    r.reply(late, run_verdict::admitted);
    r.reply(cancelled, run_verdict::admitted);
    r.reply(late, run_verdict::refused);
    CHECK(r.client.open("e") == 0);
    r.now += 10ms;
    r.client.tick(r.now);
    const auto told = r.updates("10.0.0.9");
    REQUIRE(told.size() == 2);
    CHECK(told.front().number == late);
    CHECK(told.front().event == run_event::ended);
    CHECK(told.back().number == cancelled);
    CHECK(r.answers.size() == 1);
}

// A doubled reply must not return the admission of a running request.
TEST_CASE("updates of a run are batched, and a doubled reply changes nothing",
          "[pace]")
{
    client_run r;
    const auto a = r.ask("10.0.0.9");
    const auto b = r.ask("10.0.0.9");
    r.reply(a, run_verdict::admitted);
    r.reply(a, run_verdict::admitted);
    r.reply(b, run_verdict::admitted, "10.0.0.8"); // wasn't asked
    r.reply(b, run_verdict::not_owner);
    CHECK(r.answers == std::vector{kind::admitted, kind::unanswered});
    CHECK(r.client.open("e") == 1);
    r.client.on_event(a, run_event::begun, 70ms, r.now);
    r.now += 5ms;
    r.client.on_event(a, run_event::ended, {}, r.now);
    r.client.on_event(a, run_event::ended, {}, r.now);
    CHECK(r.client.open("e") == 0);
    CHECK(r.updates("10.0.0.9").empty());
    r.now += 5ms;
    r.client.tick(r.now);
    const auto told = r.updates("10.0.0.9");
    REQUIRE(told.size() == 2);
    CHECK(told.front().event == run_event::begun);
    CHECK(told.front().first_event_time == 70ms);
    CHECK(told.back().event == run_event::ended);
    r.now += 100ms;
    r.client.tick(r.now);
    CHECK_FALSE(r.client.is_silent("10.0.0.9", r.now));
}

// A permit that tells nothing or twice when a request ends on an unusual path
// would leave the owner's count wrong.
TEST_CASE("a permit tells the first event and the end once each", "[pace]")
{
    std::vector<run_event> told;
    {
        run_permit p([&](run_event e, duration) { told.push_back(e); });
        p.on_event(10ms);
        p.on_event(20ms);
        run_permit moved(std::move(p));
        moved.set_outcome(run_event::failed);
    }
    CHECK(told == std::vector{run_event::begun, run_event::failed});
}

// An instance that no longer owns the engine, or doesn't yet, must not admit
// by an empty count.
TEST_CASE("only the owner of an engine admits, and a new run starts slowly",
          "[pace]")
{
    engine_gates gates;
    const run_request ask{1, "e", 0, 1000, 1500, 600ms, false};
    time_point now{10s};
    CHECK(gates.on_request("10.0.0.1", ask, now).verdict ==
          run_verdict::not_owner);
    gates.on_listed("e", 1, true, now);
    std::vector<owned_engine> owned{{"e", 1, 32, 80ms, now}};
    CHECK(gates.update(owned, now).empty());
    CHECK(gates.on_request("10.0.0.1", ask, now).verdict ==
          run_verdict::admitted);
    // The engine starts again: what was open has ended, and it starts slowly.
    now += 10s;
    owned.front().started_ms = 2;
    owned.front().last_report = now;
    gates.on_listed("e", 2, false, now);
    const auto began = gates.update(owned, now);
    REQUIRE(began.size() == 1);
    CHECK(began.front().began);
    CHECK(gates.in_slow_start() == 1);
    CHECK(gates.find("e")->open() == 0);
    CHECK(gates.update({}, now).empty());
    CHECK(gates.find("e") == nullptr);
}

// Two owners count apart for a short time, for instance after a partition. Each
// knows the open requests of the instances that tell it, so that together they
// admit at most one window and the rest of the slots more.
TEST_CASE("two owners each keep the limit of an engine", "[pace]")
{
    time_point now{10s};
    std::vector<engine_gates> owners(2);
    const std::vector<owned_engine> owned{{"e", 1, 32, 80ms, now}};
    std::uint32_t admitted = 0;
    for (std::size_t o = 0; o < owners.size(); ++o) {
        (void)owners[o].update(owned, now);
        owners[o].on_told("10.0.0.7", "e", 20, now);
        for (std::uint64_t n = 1; n <= 40; ++n)
            if (owners[o]
                    .on_request("10.0.0.1",
                                {n, "e", 0, 1000, 1500, 600ms, false}, now)
                    .verdict == run_verdict::admitted)
                ++admitted;
    }
    CHECK(admitted == 12);
}
