#include "lovagegate/pace/engine_gate.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace lovagegate;
using namespace lovagegate::pace;

namespace {

constexpr duration usual = 80ms;
constexpr duration objective = 600ms;
constexpr std::uint32_t ordinary = 3;

/// An engine gate with a clock and consecutive numbers.
struct gate_run
{
    explicit gate_run(engine_gate::start_kind start, std::uint32_t slots = 32)
        : gate(slots, start, now)
    {
    }

    bool ask(std::uint32_t priority = ordinary, bool resumed = false,
             const std::string& from = "10.0.0.1")
    {
        return gate
            .ask(from, {++number, priority, 1000, objective, resumed}, now)
            .admitted;
    }

    /// Asks and has the first event come after a time.
    bool run(duration first_event, const std::string& from = "10.0.0.1")
    {
        if (!ask(ordinary, false, from))
            return false;
        now += first_event;
        gate.on_begun(from, number, first_event, usual, now);
        return true;
    }

    void end(std::uint64_t n,
             engine_gate::outcome how = engine_gate::outcome::answered)
    {
        gate.on_ended("10.0.0.1", n, how, now);
    }

    time_point now{10s};
    std::uint64_t number = 0;
    engine_gate gate;
};

} // namespace

// A gate that fills the whole engine with ordinary requests leaves the most
// urgent ones queueing behind them.
TEST_CASE("ordinary requests leave slots for the most urgent ones", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    while (r.run(60ms))
        ;
    CHECK(r.gate.open() == 27);
    CHECK_FALSE(r.ask(ordinary));
    std::uint32_t urgent = 0;
    while (r.ask(0) && ++urgent < 10)
        r.gate.on_begun("10.0.0.1", r.number, 60ms, usual, r.now);
    CHECK(urgent == 5);
    CHECK(r.gate.open() == 32);
    CHECK(r.ask(ordinary, true)); // a begun stream must not be cut
}

// 25 requests reached one engine within 5 ms: no load report can show them, so
// only the requests that the engine hasn't begun bound such a burst.
TEST_CASE("a burst gets no more than the window of unbegun requests", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    std::uint32_t admitted = 0;
    for (int i = 0; i < 25; ++i)
        admitted += r.ask(0) ? 1U : 0U;
    CHECK(admitted == 6);
    // First events that come in time open the window one by one, up to 12.
    for (std::uint64_t n = 1; n <= 6; ++n)
        r.gate.on_begun("10.0.0.1", n, 70ms, usual, r.now + 70ms);
    CHECK(r.gate.window() == 12);
    // A late one halves it, once for the requests sent before that.
    r.now += 100ms;
    const auto first = r.number + 1;
    REQUIRE(r.ask(0));
    REQUIRE(r.ask(0));
    r.now += 300ms;
    r.gate.on_begun("10.0.0.1", first, 300ms, usual, r.now);
    r.gate.on_begun("10.0.0.1", first + 1, 300ms, usual, r.now);
    CHECK(r.gate.window() == 6);
}

// A started engine that reports no load was flooded by all instances at once;
// one that is held back for a fixed time would idle.
TEST_CASE("a started engine gets requests at once and the whole in 8 rounds",
          "[pace]")
{
    gate_run r(engine_gate::start_kind::started);
    std::uint32_t at_once = 0;
    for (int i = 0; i < 40; ++i)
        at_once += r.ask(0) ? 1U : 0U;
    CHECK(at_once == 2);
    std::vector<std::uint64_t> open{1, 2};
    int rounds = 0;
    while (r.gate.in_slow_start()) {
        REQUIRE(++rounds <= 8);
        r.now += 100ms;
        for (const auto n : open) {
            r.gate.on_begun("10.0.0.1", n, 90ms, usual, r.now);
            r.end(n);
        }
        open.clear();
        while (r.ask(0))
            open.push_back(r.number);
        CHECK_FALSE(open.empty());
        CHECK(open.size() <= 32);
    }
    CHECK(rounds >= 3);
}

// If slow answers doubled the pace, a slow engine would end up with a full
// queue; if they halved it, it would never serve more than at its start.
TEST_CASE("a slow engine stays at the pace that it answers", "[pace]")
{
    gate_run r(engine_gate::start_kind::started);
    for (int round = 0; round < 20; ++round) {
        std::vector<std::uint64_t> open;
        while (r.ask(0))
            open.push_back(r.number);
        CHECK(open.size() == 2);
        r.now += 200ms; // over 1.5 and under 3 times the usual time
        for (const auto n : open) {
            r.gate.on_begun("10.0.0.1", n, 200ms, usual, r.now);
            r.end(n);
        }
    }
    CHECK(r.gate.pace() == Approx(0.125));
}

// An engine that fails and answers in turn must not get the whole load again
// after each good answer.
TEST_CASE("a flapping engine falls back to the slow start", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(r.ask(0));
        r.now += 10ms;
        r.end(r.number, engine_gate::outcome::failed);
    }
    CHECK(r.gate.pace() == Approx(0.125));
    CHECK(r.gate.window() == 2);
    for (int i = 0; i < 4; ++i) {
        REQUIRE(r.run(60ms));
        r.end(r.number);
    }
    CHECK(r.gate.pace() == Approx(0.25));
    REQUIRE(r.ask(0));
    r.now += 10ms;
    r.end(r.number, engine_gate::outcome::rejected);
    CHECK(r.gate.pace() == Approx(0.125));
}

// Updates are datagrams: a lost end would hold a slot for ever, a doubled
// request or end would shift the count.
TEST_CASE("counts heal after lost and doubled messages", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    REQUIRE(r.run(60ms));
    REQUIRE(r.run(60ms));
    CHECK(
        r.gate.ask("10.0.0.1", {1, 0, 1000, objective, false}, r.now).admitted);
    CHECK(r.gate.open() == 2);
    r.end(1);
    r.end(1);
    CHECK(r.gate.open() == 1);
    // The end of request 2 is lost. One telling may have been sent before the
    // admission arrived; two that are apart can't.
    r.now += 300ms;
    r.gate.on_told("10.0.0.1", 0, r.now);
    CHECK(r.gate.open() == 1);
    r.gate.on_told("10.0.0.1", 0, r.now + 1ms);
    CHECK(r.gate.open() == 1);
    r.now += 300ms;
    r.gate.on_told("10.0.0.1", 0, r.now);
    CHECK(r.gate.open() == 0);
}

// Requests that an instance sent without an answer of the owner are at the
// engine all the same.
TEST_CASE("the larger of admissions and told requests counts", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    REQUIRE(r.run(60ms));
    r.gate.on_told("10.0.0.1", 20, r.now);
    r.gate.on_told("10.0.0.2", 7, r.now);
    CHECK(r.gate.open() == 27);
    CHECK_FALSE(r.ask(ordinary));
    r.end(1);
    CHECK(r.gate.open() == 26);
}

// The admissions of an instance that dies would otherwise hold the engine's
// slots until its owner changes.
TEST_CASE("an instance that tells nothing for a second is forgotten", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    REQUIRE(r.run(60ms));
    r.gate.on_told("10.0.0.2", 7, r.now);
    r.now += 800ms;
    r.gate.on_told("10.0.0.2", 7, r.now);
    r.gate.tick(r.now);
    CHECK(r.gate.open() == 8);
    r.now += 300ms;
    r.gate.tick(r.now);
    CHECK(r.gate.open() == 7);
}

// Loads of adapters take 260 ms and more: requests that wait for them would
// fill the window while the engine reads no prompt.
TEST_CASE("a request counts as unbegun once it is sent", "[pace]")
{
    gate_run r(engine_gate::start_kind::established);
    for (std::uint64_t n = 1; n <= 8; ++n)
        REQUIRE(
            r.gate.ask("10.0.0.1", {n, 0, 1000, objective, false, true}, r.now)
                .admitted);
    CHECK(r.gate.unbegun() == 0);
    CHECK(r.gate.open() == 8);
    r.gate.on_sent("10.0.0.1", 1, r.now);
    r.gate.on_sent("10.0.0.1", 1, r.now);
    CHECK(r.gate.unbegun() == 1);
    r.gate.on_begun("10.0.0.1", 1, 70ms, usual, r.now);
    r.gate.on_sent("10.0.0.1", 1, r.now); // the datagram came twice
    CHECK(r.gate.unbegun() == 0);
    CHECK(r.gate.window() == 7);
}
