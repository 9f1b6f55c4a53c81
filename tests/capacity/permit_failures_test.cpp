#include "permit_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::capacity;

namespace {

simulation_settings with_rate(double per_second)
{
    simulation_settings s;
    s.demands = {{0.8 * per_second, 1, 1, 1}, {0.2 * per_second, 2, 2, 1}};
    return s;
}

} // namespace

// Guards against requests that hang because their coordinator has ended, and
// against instances that wait for it again and again.
TEST_CASE("requests go on without a coordinator that has ended", "[capacity]")
{
    permit_simulation sim(with_rate(200));
    sim.run(3s);
    sim.reset_counts();
    sim.end(0);
    sim.run(3s);
    // The other instances have noticed by now.
    sim.assign(0, 75, 1);
    sim.run(5s);
    auto c = sim.total();
    CHECK(c.share_in_time() > 0.93);
    CHECK(sim.double_runs == 0);
    CHECK(sim.sum_of_counts("permit_fallback_sends{reason=\"distrusted\"}") >
          0);
}

// Guards against a frozen coordinator that grants permits by what it received
// before, which its requests have not waited for.
TEST_CASE("grants of a coordinator that was frozen are given back",
          "[capacity]")
{
    permit_simulation sim(with_rate(200));
    sim.run(3s);
    sim.freeze(0);
    sim.run(1500ms);
    sim.thaw(0);
    sim.run(1s);
    CHECK(sim.sum_of_counts("permits_late") > 0);
    sim.reset_counts();
    sim.run(5s);
    CHECK(sim.total().share_in_time() > 0.97);
    CHECK(sim.coordinator(0).in_use() <= sim.coordinator(0).permits());
    CHECK(sim.double_runs == 0);
}

// Guards against a target that has stopped and gets a third of the requests
// all the same, because the leases of its permits end.
TEST_CASE("a target that has stopped gets few requests", "[capacity]")
{
    permit_simulation sim(with_rate(180));
    sim.run(3s);
    sim.freeze_target(1);
    sim.run(1s);
    sim.reset_counts();
    sim.run(10s);
    const auto c = sim.total();
    CAPTURE(c.requests, c.late, c.refused, sim.coordinator(0).permits(),
            sim.sum_of_counts("permits_expired"),
            sim.sum_of_counts("permit_fallback_sends{reason=\"silent\"}"),
            sim.sum_of_counts("permits_granted"));
    CHECK(c.share_in_time() > 0.97);
}

// Guards against two halves of a fleet that together overload the targets.
TEST_CASE("two coordinators serve in time, too", "[capacity]")
{
    permit_simulation sim(with_rate(250));
    sim.assign(40, 75, 1);
    sim.run(3s);
    sim.reset_counts();
    sim.run(8s);
    auto c = sim.total();
    CHECK(c.share_in_time() > 0.95);
    CHECK(sim.double_runs == 0);
}

// Guards against permits that are lost for good with the datagrams that
// carried them, and against requests that run twice.
TEST_CASE("lost and doubled datagrams cost little", "[capacity]")
{
    simulation_settings s = with_rate(230);
    s.loss = 0.03;
    s.duplication = 0.1;
    s.max_delay = 8ms;
    permit_simulation sim(s);
    sim.run(3s);
    sim.reset_counts();
    sim.run(10s);
    auto c = sim.total();
    CHECK(c.share_in_time() > 0.97);
    CHECK(sim.double_runs == 0);
    CHECK(sim.coordinator(0).in_use() <= sim.coordinator(0).permits());
}

// Guards against permits of instances that ended, which nobody gives back.
TEST_CASE("permits whose holders have ended become free", "[capacity]")
{
    counters counts;
    permit_coordinator c(counts, 1);
    const std::vector<permit_target> targets{{"t", 2}};
    c.set_targets(targets);
    time_point now(10s);
    for (std::uint64_t n = 1; n <= 5; ++n)
        c.on_request("gone", {"s", n, 0, 0, 1, 300ms, 4s, false, 0, {}, {}},
                     now);
    CHECK(c.in_use() == c.permits());
    CHECK(c.waiting() == 2);
    (void)c.take_messages();
    now += 151ms; // three times the assumed run time
    c.on_request("here", {"s", 1, 0, 0, 1, 300ms, 4s, false, 0, {}, {}}, now);
    c.tick(now);
    CHECK(counts.count("permits_expired") == 3);
    CHECK(c.in_use() == c.permits());
    CHECK(c.waiting() == 0);
}

// Guards against a second permit for a request whose datagram was doubled.
TEST_CASE("a doubled request gets one permit", "[capacity]")
{
    counters counts;
    permit_coordinator c(counts, 1);
    const std::vector<permit_target> targets{{"t", 6}};
    c.set_targets(targets);
    const time_point now(10s);
    const gateway::place_request r{"s", 7,     0, 0,  1, 300ms,
                                   4s,  false, 0, {}, {}};
    c.on_request("a", r, now);
    c.on_request("a", r, now);
    CHECK(c.in_use() == 1);
    const auto out = c.take_messages();
    REQUIRE(out.size() == 2);
    CHECK(std::get<gateway::place_grant>(out[1].message).target == "t");
}

// Guards against a target that rejects everything and still gets its share of
// the requests.
TEST_CASE("the limit of a target that rejects falls, and recovers",
          "[capacity]")
{
    concurrency_limit limit(6);
    CHECK(limit.value() == 8);
    time_point now(10s);
    for (int i = 0; i < 30; ++i, now += 60ms)
        limit.on_rejection(now);
    CHECK(limit.value() == 1);
    CHECK(limit.is_avoided(now));
    for (int i = 0; i < 60; ++i)
        limit.on_answer(60ms, 71ms, limit.value());
    CHECK(limit.value() == 8);
    for (int i = 0; i < 60; ++i)
        limit.on_answer(200ms, 210ms, 8);
    CHECK(limit.value() == 6); // slow answers end the queue at the target
    for (int i = 0; i < 3; ++i)
        limit.on_failure(now);
    CHECK(limit.value() == 3);
    CHECK(limit.is_avoided(now));
}

// Guards against a target that fails a few of its requests and is taken out of
// use for each, with a third of the service's capacity.
TEST_CASE("single failures leave the limit of a target as it is", "[capacity]")
{
    concurrency_limit limit(6);
    const time_point now(10s);
    for (int i = 0; i < 30; ++i) {
        limit.on_failure(now);
        limit.on_failure(now);
        limit.on_answer(60ms, 71ms, limit.value());
        CHECK(limit.value() == 8);
        CHECK_FALSE(limit.is_avoided(now));
    }
}

// Guards against callers that all come back at the same moment, and against
// such that are told to come back after their deadline.
TEST_CASE("refused callers are told to come back one after another",
          "[capacity]")
{
    counters counts;
    permit_coordinator c(counts, 1);
    const std::vector<permit_target> targets{{"t", 1}};
    c.set_targets(targets);
    const time_point now(10s);
    for (std::uint64_t n = 1; n <= 60; ++n)
        c.on_request("a", {"s", n, 0, 0, 1, 300ms, 4s, false, 0, {}, {}}, now);
    std::map<duration, int> waits;
    for (const auto& m : c.take_messages())
        if (const auto* r = std::get_if<gateway::place_refusal>(&m.message)) {
            CHECK(r->retry_after >= 200ms);
            CHECK(r->retry_after < 4s);
            ++waits[std::chrono::duration_cast<std::chrono::milliseconds>(
                r->retry_after)];
        }
    CHECK(waits.size() > 40);
}

// Guards against a permit that is asked for a request which can't wait: an
// instance that was just told that permits aren't needed sends at once.
TEST_CASE("a coordinator's word that permits aren't needed holds a second",
          "[capacity]")
{
    counters counts;
    permit_client client(counts, 1);
    const permit_question q{"s", 0, 0, 1, 300ms, 4s};
    time_point now(10s);
    int decided = 0;
    const auto count = [&](const permit_decision&) { ++decided; };
    const auto first = client.ask(q, "c", count, now);
    CHECK(first != 0);
    client.on_message("c",
                      gateway::place_grant{
                          first, gateway::place_answer::granted, "t", {}, 1s},
                      now);
    CHECK(decided == 1);
    CHECK(client.ask(q, "c", count, now + 900ms) == 0);
    (void)client.take_messages();
    // Later requests ask, but don't wait for the answer.
    CHECK(client.ask(q, "c", count, now + 1500ms) == 0);
    const auto renewal = client.take_messages();
    REQUIRE(renewal.size() == 1);
    const auto& asked =
        std::get<gateway::place_request>(renewal.front().message);
    CHECK(asked.needs_no_permit);
    client.on_message("c", gateway::place_grant{asked.number}, now + 1501ms);
    CHECK(client.ask(q, "c", count, now + 1502ms) != 0);
}

// Guards against requests that wait 40 ms each for a coordinator that is
// silent.
TEST_CASE("a silent coordinator delays an instance once a second", "[capacity]")
{
    counters counts;
    permit_client client(counts, 1);
    const permit_question q{"s", 0, 0, 1, 300ms, 4s};
    time_point now(10s);
    permit_decision got{permit_decision::action::refuse, {}, {}};
    const auto keep = [&](const permit_decision& d) { got = d; };
    CHECK(client.ask(q, "c", keep, now) != 0);
    client.tick(now + 39ms);
    CHECK(got.what == permit_decision::action::refuse);
    client.tick(now + 40ms);
    CHECK(got.what == permit_decision::action::send_anywhere);
    CHECK(client.take_silent().size() == 1);
    CHECK(client.ask(q, "c", keep, now + 41ms) == 0);
    CHECK(client.ask(q, "other", keep, now + 41ms) != 0);
    CHECK(client.ask(q, "c", keep, now + 1041ms) != 0);
}

// Guards against a second without permits after each short stall of a
// coordinator, and against waiting for one that always answers too late.
TEST_CASE("a coordinator that answers late once is asked again", "[capacity]")
{
    counters counts;
    permit_client client(counts, 1);
    const permit_question q{"s", 0, 0, 1, 300ms, 4s};
    time_point now(10s);
    const auto ignore = [](const permit_decision&) {};
    const auto ask_and_answer_late = [&] {
        now += 1ms;
        const auto number = client.ask(q, "c", ignore, now);
        REQUIRE(number != 0);
        client.tick(now += 40ms);
        client.on_message(
            "c",
            gateway::place_grant{
                number, gateway::place_answer::granted, "t", {}, {}},
            now += 10ms);
    };
    ask_and_answer_late();
    ask_and_answer_late();
    CHECK(client.ask(q, "c", ignore, now) == 0);
}

// Guards against an instance that was starved of its core and takes its own
// delay for the silence of the coordinator.
TEST_CASE("after a delay of the process, unread replies are read first",
          "[capacity]")
{
    counters counts;
    permit_client client(counts, 1);
    time_point now(10s);
    int decided = 0;
    CHECK(client.ask(
              {"s", 0, 0, 1, 300ms, 4s}, "c",
              [&](const permit_decision&) { ++decided; }, now) != 0);
    client.tick(now + 100ms);
    CHECK(decided == 0);
    client.tick(now + 105ms);
    CHECK(decided == 1);
}

// Guards against questions that stay undecided or are decided twice, and
// against permits that the coordinator and the instances count differently once
// all is quiet.
TEST_CASE("each question is decided once, and all permits return", "[capacity]")
{
    rc::check([] {
        counters counts;
        permit_client client(counts, *rc::gen::arbitrary<std::uint64_t>());
        permit_coordinator coordinator(counts, 3);
        const std::vector<permit_target> targets{{"t", 1}, {"u", 2}};
        time_point now(10s);
        std::map<int, int> decisions;
        std::map<int, std::uint64_t> numbers;
        std::set<int> granted;
        std::vector<outgoing_message> in_flight;
        int questions = 0;
        const auto collect = [&] {
            for (auto& m : client.take_messages())
                in_flight.push_back(std::move(m));
            for (auto& m : coordinator.take_messages())
                in_flight.push_back(std::move(m));
        };
        const auto deliver = [&](const gateway::peer_message& m) {
            coordinator.set_targets(targets);
            using namespace gateway;
            if (const auto* r = std::get_if<place_request>(&m))
                coordinator.on_request("i", *r, now);
            else if (const auto* g = std::get_if<place_grant>(&m))
                client.on_message("c", *g, now);
            else if (const auto* f = std::get_if<place_refusal>(&m))
                client.on_message("c", *f, now);
            else if (const auto* e = std::get_if<place_release>(&m))
                coordinator.on_release("i", e->entries, now);
        };
        const auto release = [&] {
            const int q = *granted.begin();
            granted.erase(q);
            client.release(numbers.at(q),
                           *rc::gen::element(gateway::permit_outcome::answered,
                                             gateway::permit_outcome::rejected,
                                             gateway::permit_outcome::failed,
                                             gateway::permit_outcome::unused),
                           50ms, now);
        };
        const int steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            now += duration(*rc::gen::inRange(0, 15'000));
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
            case 1: {
                const int q = ++questions;
                numbers[q] = client.ask(
                    {"s", 0, 0, 1, 300ms, 4s}, "c",
                    [&, q](const permit_decision& d) {
                        RC_ASSERT(++decisions[q] == 1);
                        if (d.what == permit_decision::action::send_to_target)
                            granted.insert(q);
                    },
                    now);
                if (numbers[q] == 0)
                    ++decisions[q];
                break;
            }
            case 2:
            case 3: {
                if (in_flight.empty())
                    break;
                const auto at =
                    *rc::gen::inRange<std::size_t>(0, in_flight.size());
                const auto message = in_flight[at].message;
                const bool lost = *rc::gen::inRange(0, 10) == 0;
                const bool doubled = *rc::gen::inRange(0, 10) == 0;
                if (!doubled)
                    in_flight.erase(in_flight.begin() +
                                    static_cast<std::ptrdiff_t>(at));
                if (!lost)
                    deliver(message);
                break;
            }
            case 4:
                if (!granted.empty())
                    release();
                break;
            default:
                client.tick(now);
                coordinator.tick(now);
            }
            collect();
        }
        while (!granted.empty())
            release();
        for (int i = 0; i < 200; ++i) {
            now += 20ms;
            client.tick(now);
            coordinator.tick(now);
            collect();
            for (const auto& m : std::exchange(in_flight, {}))
                deliver(m.message);
            while (!granted.empty())
                release();
            collect();
        }
        for (int q = 1; q <= questions; ++q)
            RC_ASSERT(decisions[q] == 1);
        RC_ASSERT(client.waiting() == 0U);
        RC_ASSERT(client.held() == 0U);
        RC_ASSERT(coordinator.in_use() == 0U);
        RC_ASSERT(coordinator.waiting() == 0U);
    });
}
