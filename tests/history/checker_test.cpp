#include "lovagegate/history/checker.hpp"
#include "lovagegate/history/json_lines.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <sstream>

using namespace lovagegate;
using namespace lovagegate::history;

namespace {

const instance_id instance{"i1"};
const instance_id other_instance{"i2"};
const target_id target{"e1"};
const target_id other_target{"e2"};
const request_id request{"r1"};
const adapter_version requested_adapter{"signs-ml", "3"};

/// Builds a history of events one millisecond apart.
class history_builder
{
public:
    history_builder& then(event_body body)
    {
        events_.push_back({now_, std::move(body)});
        now_ += 1ms;
        return *this;
    }
    history_builder& advance(duration d)
    {
        now_ += d;
        return *this;
    }
    [[nodiscard]] const std::vector<event>& events() const { return events_; }

private:
    duration now_{1s};
    std::vector<event> events_;
};

received call(bool idempotent = true, local_id id = 1)
{
    return {instance, 1, id, request, requested_adapter, idempotent};
}

answered answer(request_outcome outcome, local_id id = 1)
{
    return {
        instance,          1,   id, request, outcome, refusal::none, request,
        requested_adapter, true};
}

instance_stage stage_event(stage s, const instance_id& i = instance)
{
    return {i, 1, s};
}

constexpr auto completed = request_outcome::completed;
constexpr auto not_run = request_outcome::not_run;
constexpr auto unknown = request_outcome::unknown;

void expect_violation(const history_builder& s, rule expected,
                      check_limits limits = {})
{
    const auto found = check(s.events(), limits);
    REQUIRE(found.size() == 1);
    CHECK(to_string(found.front().broken) == to_string(expected));
}

void expect_no_violation(const history_builder& s, check_limits limits = {})
{
    for (const violation& v : check(s.events(), limits)) {
        FAIL_CHECK(describe(v));
    }
}

history_builder completed_run()
{
    return history_builder()
        .then(call())
        .then(sent{instance, 1, 1, 0, request, target, requested_adapter})
        .then(started{target, 1, request, requested_adapter})
        .then(finished{target, 1, request})
        .then(answer(completed));
}

} // namespace

TEST_CASE("a request runs on exactly its adapter and version", "[history]")
{
    expect_no_violation(completed_run());
    expect_violation(history_builder().then(call()).then(
                         started{target, 1, request, {"signs-ml", "2"}}),
                     rule::exact_adapter);
    received open_version = call();
    open_version.adapter.version.clear();
    expect_violation(
        history_builder()
            .then(open_version)
            .then(started{target, 1, request, {"signs-ml", "2"}})
            .then(started{other_target, 1, request, {"signs-ml", "3"}}),
        rule::exact_adapter);
}

TEST_CASE("an adapter in use is not evicted", "[history]")
{
    expect_no_violation(
        completed_run().then(evicted{target, 1, requested_adapter}));
    const auto running = history_builder().then(call()).then(
        started{target, 1, request, requested_adapter});
    expect_violation(
        history_builder(running).then(evicted{target, 1, requested_adapter}),
        rule::no_eviction_in_use);
    expect_no_violation(
        history_builder(running).then(evicted{target, 1, {"signs-ml", "2"}}));
    expect_no_violation(history_builder(running).then(
        evicted{other_target, 1, requested_adapter}));
    expect_no_violation(history_builder(running)
                            .then(target_crashed{target, 1, 0})
                            .then(evicted{target, 2, requested_adapter}));
}

TEST_CASE("a caller gets the complete answer to its own request", "[history]")
{
    const auto answer_with = [](const std::function<void(answered&)>& change) {
        auto bad = answer(completed);
        change(bad);
        return history_builder()
            .then(call())
            .then(started{target, 1, request, requested_adapter})
            .then(bad);
    };
    expect_violation(answer_with([](answered& a) { a.whole = false; }),
                     rule::whole_own_answer);
    expect_violation(
        answer_with([](answered& a) { a.answer_of = request_id("r2"); }),
        rule::whole_own_answer);
    expect_violation(completed_run().then(answer(completed)),
                     rule::whole_own_answer);
    expect_violation(history_builder().then(call()).then(answer(completed)),
                     rule::whole_own_answer);
}

TEST_CASE("not run is reported only for a request that did not run",
          "[history]")
{
    expect_no_violation(history_builder().then(call()).then(answer(not_run)));
    const auto ran = history_builder().then(call()).then(
        started{target, 1, request, requested_adapter});
    expect_violation(history_builder(ran).then(answer(not_run)),
                     rule::truthful_not_run);
    expect_no_violation(history_builder(ran).then(answer(unknown)));
    expect_violation(history_builder()
                         .then(call())
                         .then(answer(not_run))
                         .then(started{target, 1, request, requested_adapter}),
                     rule::truthful_not_run);
    // Two calls with one request id: the run is attributed to the sender.
    const auto repeated_call =
        history_builder()
            .then(call(false))
            .then(sent{instance, 1, 1, 0, request, target, requested_adapter})
            .then(call(false, 2))
            .then(started{target, 1, request, requested_adapter});
    expect_no_violation(
        history_builder(repeated_call).then(answer(not_run, 2)));
    expect_violation(history_builder(repeated_call).then(answer(not_run, 1)),
                     rule::truthful_not_run);
    // A run after a second send to the same target is attributed to the call
    // that sent last, not to the one that was answered before.
    const auto resent =
        history_builder()
            .then(call(false))
            .then(sent{instance, 1, 1, 0, request, target, requested_adapter})
            .then(answer(not_run))
            .then(call(false, 2))
            .then(sent{instance, 1, 2, 0, request, target, requested_adapter})
            .then(started{target, 1, request, requested_adapter});
    expect_no_violation(history_builder(resent).then(answer(completed, 2)));
}

TEST_CASE("a non-idempotent request runs at most once", "[history]")
{
    const auto twice = [](bool idempotent) {
        return history_builder()
            .then(call(idempotent))
            .then(started{target, 1, request, requested_adapter})
            .then(started{other_target, 1, request, requested_adapter})
            .then(answer(completed));
    };
    expect_no_violation(twice(true));
    expect_violation(twice(false), rule::at_most_once);
}

TEST_CASE("a leaving target receives no request after the limit", "[history]")
{
    const auto send_after = [](duration wait, bool isolated) {
        history_builder s;
        s.then(target_leaving{target, true});
        if (isolated) {
            s.then(stage_event(stage::isolated));
        }
        return s.advance(wait).then(
            sent{instance, 1, 1, 0, request, target, requested_adapter});
    };
    expect_no_violation(send_after(2s, false));
    expect_violation(send_after(6s, false), rule::leaving_target);
    expect_no_violation(send_after(6s, true));
    expect_violation(
        send_after(6s, true)
            .then(stage_event(stage::rejoined))
            .advance(6s)
            .then(sent{instance, 1, 2, 0, request, target, requested_adapter}),
        rule::leaving_target);
    expect_no_violation(
        history_builder()
            .then(target_leaving{target, true})
            .then(target_leaving{target, false})
            .advance(6s)
            .then(sent{instance, 1, 1, 0, request, target, requested_adapter}));
}

TEST_CASE("a graceful shutdown cuts off no request", "[history]")
{
    const auto stopping =
        history_builder().then(call()).then(stage_event(stage::stop_requested));
    expect_violation(history_builder(stopping).then(stage_event(stage::exited)),
                     rule::graceful_stop);
    expect_violation(
        history_builder(stopping).then(cut_off{instance, 1, 1, request, false}),
        rule::graceful_stop);
    expect_no_violation(
        history_builder(stopping)
            .then(started{target, 1, request, requested_adapter})
            .then(answer(completed))
            .then(stage_event(stage::exited)));
    expect_no_violation(
        history_builder().then(call()).then(stage_event(stage::killed)));
}

TEST_CASE("a ticket is in force everywhere and never reverts", "[history]")
{
    const auto both_ready = history_builder()
                                .then(stage_event(stage::begun))
                                .then(stage_event(stage::begun, other_instance))
                                .then(ticket_in_force{instance, 1, 1})
                                .then(ticket_in_force{other_instance, 1, 1})
                                .then(stage_event(stage::ready))
                                .then(stage_event(stage::ready, other_instance))
                                .then(ticket_accepted{2})
                                .then(ticket_in_force{instance, 1, 2});
    expect_violation(history_builder(both_ready)
                         .advance(14s)
                         .then(stage_event(stage::ready)),
                     rule::ticket_in_force);
    expect_no_violation(history_builder(both_ready)
                            .then(ticket_in_force{other_instance, 1, 2})
                            .advance(14s)
                            .then(stage_event(stage::ready)));
    expect_no_violation(history_builder(both_ready)
                            .then(stage_event(stage::isolated, other_instance))
                            .advance(14s)
                            .then(stage_event(stage::rejoined, other_instance))
                            .advance(1s)
                            .then(stage_event(stage::ready)));
    expect_violation(
        history_builder(both_ready).then(ticket_in_force{instance, 1, 1}),
        rule::ticket_in_force);
}

TEST_CASE("a new instance is not ready with an outdated ticket", "[history]")
{
    const auto replaced = [](ticket_number held) {
        return history_builder()
            .then(ticket_accepted{2})
            .advance(20s)
            .then(stage_event(stage::begun))
            .then(ticket_in_force{instance, 1, held})
            .then(stage_event(stage::ready))
            .advance(200ms)
            .then(call());
    };
    expect_no_violation(replaced(2));
    expect_violation(replaced(1), rule::ticket_in_force);
}

TEST_CASE("loads and crashes stay within their limits", "[history]")
{
    check_limits limits;
    limits.loads_per_second = 0.2;
    history_builder loads;
    loads.then(load_started{target, 1, requested_adapter})
        .then(load_started{target, 1, requested_adapter});
    expect_no_violation(loads, limits);
    loads.then(load_started{other_target, 1, requested_adapter});
    expect_violation(loads, rule::store_rate, limits);

    history_builder crashes;
    crashes.then(target_crashed{target, 1, 7})
        .then(target_crashed{other_target, 1, 7});
    expect_no_violation(crashes);
    expect_violation(crashes.then(target_crashed{target, 2, 7}),
                     rule::crash_bound);
}

TEST_CASE("a violation lists the preceding events", "[history]")
{
    const auto s = completed_run().then(answer(completed));
    const auto found = check(s.events());
    REQUIRE(found.size() == 1);
    CHECK(found.front().before.size() == 5);
    CHECK(found.front().about.name == "r1");
}

TEST_CASE("events round-trip through JSON lines", "[history]")
{
    const auto s =
        completed_run()
            .then(order_given{instance, target, 4, node::order_kind::unload,
                              requested_adapter, 9})
            .then(order_over{instance, target, 4, node::order_end::stale_token})
            .then(stage_event(stage::rejoined))
            .then(granted{instance, other_instance, 3, target, 9});
    std::stringstream lines;
    for (const event& e : s.events()) {
        lines << to_line(e) << '\n';
    }
    std::vector<event> back;
    read_lines(lines, back);
    REQUIRE(back.size() == s.events().size());
    for (std::size_t i = 0; i < back.size(); ++i) {
        CHECK(to_line(back[i]) == to_line(s.events()[i]));
    }
    CHECK_THROWS_AS(from_line("{\"at_us\":1,\"event\":\"other\"}"), bad_line);
    CHECK_THROWS_AS(from_line("{\"at_us\":"), bad_line);
}
