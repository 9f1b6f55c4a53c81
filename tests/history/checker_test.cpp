#include "lovagegate/history/checker.hpp"
#include "lovagegate/history/json_lines.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <sstream>

using namespace lovagegate;
using namespace lovagegate::history;

namespace {

const instance_id entry{"i1"};
const instance_id other{"i2"};
const target_id engine{"e1"};
const target_id spare{"e2"};
const request_id first{"r1"};
const adapter_version asked{"signs-ml", "3"};

/// Events a millisecond apart; pauses are added by `after`.
class history_builder
{
public:
    history_builder& then(event_body body)
    {
        events_.push_back({now_, std::move(body)});
        now_ += 1ms;
        return *this;
    }
    history_builder& after(duration d)
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
    return {entry, 1, id, first, asked, idempotent};
}

answered answer(request_outcome outcome, local_id id = 1)
{
    return {entry, 1, id, first, outcome, refusal::none, first, asked, true};
}

instance_stage stage_event(stage s, const instance_id& i = entry)
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
        .then(sent{entry, 1, 1, 0, first, engine, asked})
        .then(started{engine, 1, first, asked})
        .then(finished{engine, 1, first})
        .then(answer(completed));
}

} // namespace

TEST_CASE("a request runs on exactly its adapter and version", "[history]")
{
    expect_no_violation(completed_run());
    expect_violation(history_builder().then(call()).then(
                         started{engine, 1, first, {"signs-ml", "2"}}),
                     rule::exact_adapter);
    received open_version = call();
    open_version.adapter.version.clear();
    expect_violation(history_builder()
                         .then(open_version)
                         .then(started{engine, 1, first, {"signs-ml", "2"}})
                         .then(started{spare, 1, first, {"signs-ml", "3"}}),
                     rule::exact_adapter);
}

TEST_CASE("an adapter in use is not evicted", "[history]")
{
    expect_no_violation(completed_run().then(evicted{engine, 1, asked}));
    const auto running =
        history_builder().then(call()).then(started{engine, 1, first, asked});
    expect_violation(history_builder(running).then(evicted{engine, 1, asked}),
                     rule::no_eviction_in_use);
    expect_no_violation(
        history_builder(running).then(evicted{engine, 1, {"signs-ml", "2"}}));
    expect_no_violation(
        history_builder(running).then(evicted{spare, 1, asked}));
    expect_no_violation(history_builder(running)
                            .then(target_crashed{engine, 1, 0})
                            .then(evicted{engine, 2, asked}));
}

TEST_CASE("a caller gets the whole answer to its own request", "[history]")
{
    const auto with = [](const std::function<void(answered&)>& change) {
        auto bad = answer(completed);
        change(bad);
        return history_builder()
            .then(call())
            .then(started{engine, 1, first, asked})
            .then(bad);
    };
    expect_violation(with([](answered& a) { a.whole = false; }),
                     rule::whole_own_answer);
    expect_violation(with([](answered& a) { a.answer_of = request_id("r2"); }),
                     rule::whole_own_answer);
    expect_violation(completed_run().then(answer(completed)),
                     rule::whole_own_answer);
    expect_violation(history_builder().then(call()).then(answer(completed)),
                     rule::whole_own_answer);
}

TEST_CASE("not run is said only of what did not run", "[history]")
{
    expect_no_violation(history_builder().then(call()).then(answer(not_run)));
    const auto ran =
        history_builder().then(call()).then(started{engine, 1, first, asked});
    expect_violation(history_builder(ran).then(answer(not_run)),
                     rule::truthful_not_run);
    expect_no_violation(history_builder(ran).then(answer(unknown)));
    expect_violation(history_builder()
                         .then(call())
                         .then(answer(not_run))
                         .then(started{engine, 1, first, asked}),
                     rule::truthful_not_run);
    // Two calls with one id: the run belongs to the one that sent it.
    const auto again = history_builder()
                           .then(call(false))
                           .then(sent{entry, 1, 1, 0, first, engine, asked})
                           .then(call(false, 2))
                           .then(started{engine, 1, first, asked});
    expect_no_violation(history_builder(again).then(answer(not_run, 2)));
    expect_violation(history_builder(again).then(answer(not_run, 1)),
                     rule::truthful_not_run);
    // What an answered call sent belongs to the call that sent last.
    const auto resent = history_builder()
                            .then(call(false))
                            .then(sent{entry, 1, 1, 0, first, engine, asked})
                            .then(answer(not_run))
                            .then(call(false, 2))
                            .then(sent{entry, 1, 2, 0, first, engine, asked})
                            .then(started{engine, 1, first, asked});
    expect_no_violation(history_builder(resent).then(answer(completed, 2)));
}

TEST_CASE("a non-idempotent request runs at most once", "[history]")
{
    const auto twice = [](bool idempotent) {
        return history_builder()
            .then(call(idempotent))
            .then(started{engine, 1, first, asked})
            .then(started{spare, 1, first, asked})
            .then(answer(completed));
    };
    expect_no_violation(twice(true));
    expect_violation(twice(false), rule::at_most_once);
}

TEST_CASE("a leaving target gets no new work after the limit", "[history]")
{
    const auto send_after = [](duration wait, bool isolated) {
        history_builder s;
        s.then(target_leaving{engine, true});
        if (isolated) {
            s.then(stage_event(stage::isolated));
        }
        return s.after(wait).then(sent{entry, 1, 1, 0, first, engine, asked});
    };
    expect_no_violation(send_after(2s, false));
    expect_violation(send_after(6s, false), rule::leaving_target);
    expect_no_violation(send_after(6s, true));
    expect_violation(send_after(6s, true)
                         .then(stage_event(stage::rejoined))
                         .after(6s)
                         .then(sent{entry, 1, 2, 0, first, engine, asked}),
                     rule::leaving_target);
    expect_no_violation(history_builder()
                            .then(target_leaving{engine, true})
                            .then(target_leaving{engine, false})
                            .after(6s)
                            .then(sent{entry, 1, 1, 0, first, engine, asked}));
}

TEST_CASE("a planned stop cuts off no request", "[history]")
{
    const auto stopping =
        history_builder().then(call()).then(stage_event(stage::stop_requested));
    expect_violation(history_builder(stopping).then(stage_event(stage::exited)),
                     rule::graceful_stop);
    expect_violation(
        history_builder(stopping).then(cut_off{entry, 1, 1, first, false}),
        rule::graceful_stop);
    expect_no_violation(history_builder(stopping)
                            .then(started{engine, 1, first, asked})
                            .then(answer(completed))
                            .then(stage_event(stage::exited)));
    expect_no_violation(
        history_builder().then(call()).then(stage_event(stage::killed)));
}

TEST_CASE("a ticket is in force everywhere and never reverts", "[history]")
{
    const auto both_ready = history_builder()
                                .then(stage_event(stage::begun))
                                .then(stage_event(stage::begun, other))
                                .then(ticket_in_force{entry, 1, 1})
                                .then(ticket_in_force{other, 1, 1})
                                .then(stage_event(stage::ready))
                                .then(stage_event(stage::ready, other))
                                .then(ticket_accepted{2})
                                .then(ticket_in_force{entry, 1, 2});
    expect_violation(
        history_builder(both_ready).after(14s).then(stage_event(stage::ready)),
        rule::ticket_in_force);
    expect_no_violation(history_builder(both_ready)
                            .then(ticket_in_force{other, 1, 2})
                            .after(14s)
                            .then(stage_event(stage::ready)));
    expect_no_violation(history_builder(both_ready)
                            .then(stage_event(stage::isolated, other))
                            .after(14s)
                            .then(stage_event(stage::rejoined, other))
                            .after(1s)
                            .then(stage_event(stage::ready)));
    expect_violation(
        history_builder(both_ready).then(ticket_in_force{entry, 1, 1}),
        rule::ticket_in_force);
}

TEST_CASE("a new instance is not ready with an old state", "[history]")
{
    const auto replaced = [](ticket_number held) {
        return history_builder()
            .then(ticket_accepted{2})
            .after(20s)
            .then(stage_event(stage::begun))
            .then(ticket_in_force{entry, 1, held})
            .then(stage_event(stage::ready))
            .after(200ms)
            .then(call());
    };
    expect_no_violation(replaced(2));
    expect_violation(replaced(1), rule::ticket_in_force);
}

TEST_CASE("loads and crashes stay within their bounds", "[history]")
{
    check_limits limits;
    limits.loads_per_second = 0.2;
    history_builder loads;
    loads.then(load_started{engine, 1, asked})
        .then(load_started{engine, 1, asked});
    expect_no_violation(loads, limits);
    loads.then(load_started{spare, 1, asked});
    expect_violation(loads, rule::store_rate, limits);

    history_builder crashes;
    crashes.then(target_crashed{engine, 1, 7})
        .then(target_crashed{spare, 1, 7});
    expect_no_violation(crashes);
    expect_violation(crashes.then(target_crashed{engine, 2, 7}),
                     rule::crash_bound);
}

TEST_CASE("a violation names the events before it", "[history]")
{
    const auto s = completed_run().then(answer(completed));
    const auto found = check(s.events());
    REQUIRE(found.size() == 1);
    CHECK(found.front().before.size() == 5);
    CHECK(found.front().about.name == "r1");
}

TEST_CASE("events survive writing and reading", "[history]")
{
    const auto s =
        completed_run()
            .then(order_given{entry, engine, 4, node::order_kind::unload, asked,
                              9})
            .then(order_over{entry, engine, 4, node::order_end::stale_token})
            .then(stage_event(stage::rejoined))
            .then(granted{entry, other, 3, engine, 9});
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
