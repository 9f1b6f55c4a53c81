#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

/// A request that fails without long waits if its stream is never taken up by
/// another engine.
std::string request()
{
    return call_text({.method = "POST",
                      .path = "/p/x",
                      .id = "id1",
                      .body = "",
                      .time_left_ms = 6000,
                      .adapter = {}});
}

/// Sends bytes repeatedly, each time well before a silent engine is probed.
/// @param begin sent once
script trickle(const std::string& begin, const std::string& more)
{
    return {{begin, {}, then::go_on}, {more, 100ms, then::repeat}};
}

/// Sends three events at a usual pace, then what the other script says.
script after_three_events(const seen_request& r, const script& more)
{
    script all{{stream_head(r) + event(1), {}, then::go_on},
               {event(2), 30ms, then::go_on},
               {event(3), 30ms, then::go_on}};
    all.insert(all.end(), more.begin(), more.end());
    return all;
}

const std::string three_events = event(1) + event(2) + event(3);

/// Sends an event in pieces.
/// @param pause before each piece
script in_pieces(const std::string& text, duration pause)
{
    script all;
    for (const char c : text)
        all.push_back({std::string(1, c), pause, then::go_on});
    return all;
}

/// The engine doesn't answer requests for its report in time.
script no_report()
{
    return {{"", 60s, then::close}};
}

} // namespace

// A caller leaves a stream that brings no complete event, however many bytes
// its engine sends. An engine that sends a byte now and then must not pass for
// one that works.

TEST_CASE(
    "a stream goes on elsewhere if its engine sends bytes but no complete "
    "event and doesn't answer a probe",
    "[gateway]")
{
    const std::string bytes = GENERATE(values<std::string>({"x", ": k\n"}));
    CAPTURE(bytes);
    std::atomic<int> resumed{0};
    const auto engine = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return no_report();
        if (resume_after(r).empty())
            return trickle(stream_head(r) + event(1) + "id: 2\ndata: ", bytes);
        ++resumed;
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {engine, engine});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(resumed == 1);
}

TEST_CASE(
    "a request is sent elsewhere if its engine sends bytes but no complete "
    "first event and doesn't answer a probe",
    "[gateway]")
{
    std::atomic<int> sends{0};
    const auto engine = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return no_report();
        if (++sends == 1)
            return trickle(stream_head(r) + "id: 1\ndata: ", "x");
        return {{stream_head(r) + event(1), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {engine, engine});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == event(1));
    CHECK(sends == 2);
}

TEST_CASE(
    "a stream goes on elsewhere if its engine sends only keep-alive lines "
    "and doesn't answer a probe",
    "[gateway]")
{
    const std::string line =
        GENERATE(values<std::string>({"\n", ":\n", ": k\n\n", "\r\n"}));
    CAPTURE(line);
    std::atomic<int> resumed{0};
    const auto engine = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return no_report();
        if (resume_after(r).empty())
            return trickle(stream_head(r) + event(1), line);
        ++resumed;
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {engine, engine});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body.starts_with(event(1)));
    CHECK(a.body.ends_with(event(2)));
    CHECK(resumed == 1);
}

TEST_CASE(
    "a request is sent elsewhere if its engine sends only keep-alive lines "
    "before the first event and doesn't answer a probe",
    "[gateway]")
{
    std::atomic<int> sends{0};
    const auto engine = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return no_report();
        if (++sends == 1)
            return trickle(stream_head(r) + "\n", ": k\n\n");
        return {{stream_head(r) + event(1), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {engine, engine});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == event(1));
    CHECK(sends == 2);
}

// The opposite fault: what is slow but works is given up.

TEST_CASE("a stream stays at an engine that sends complete events far apart",
          "[gateway]")
{
    const bool in_parts = GENERATE(false, true);
    CAPTURE(in_parts);
    std::atomic<int> resumed{0};
    const auto slow = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        if (!resume_after(r).empty()) {
            ++resumed;
            return misdirected(r);
        }
        // The second event shows how long events take here.
        const std::string third = event(3);
        script all{{stream_head(r) + event(1), {}, then::go_on},
                   {event(2), 1500ms, then::go_on}};
        if (in_parts)
            all.push_back({third.substr(0, 8), 1200ms, then::go_on});
        all.push_back({in_parts ? third.substr(8) : third,
                       in_parts ? 300ms : 1500ms, then::close});
        return all;
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {slow, slow});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == three_events);
    CHECK(resumed == 0);
}

TEST_CASE("a stream stays at an engine that is slow to send each event and "
          "answers a probe",
          "[gateway]")
{
    // The second event shows how long events take here.
    std::atomic<int> resumed{0};
    const auto slow = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        if (!resume_after(r).empty()) {
            ++resumed;
            return misdirected(r);
        }
        script all{{stream_head(r) + event(1), {}, then::go_on},
                   {event(2), 850ms, then::go_on}};
        for (const auto& step : in_pieces(event(3), 150ms))
            all.push_back(step);
        all.push_back({"", {}, then::close});
        return all;
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {slow, slow});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == three_events);
    CHECK(resumed == 0);
}

TEST_CASE("a stream stays at an engine that sends keep-alive lines and answers "
          "a probe",
          "[gateway]")
{
    const std::string line = GENERATE(values<std::string>({":\n", ": k\n\n"}));
    CAPTURE(line);
    const bool begun = GENERATE(true, false);
    CAPTURE(begun);
    std::atomic<int> sends{0};
    const auto slow = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        ++sends;
        script all{{stream_head(r) + (begun ? event(1) : ""), {}, then::go_on}};
        for (int i = 0; i < 12; ++i)
            all.push_back({line, 200ms, then::go_on});
        all.push_back({"\n" + event(2), {}, then::go_on});
        all.push_back({":\n\n", 100ms, then::close});
        return all;
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {slow, slow});
    const auto a = s.ask(request());
    std::string lines;
    for (int i = 0; i < 12; ++i)
        lines += line;
    CHECK(a.complete);
    CHECK(a.body ==
          (begun ? event(1) : "") + lines + "\n" + event(2) + ":\n\n");
    CHECK(sends == 1);
}

TEST_CASE(
    "a stream stays at an engine that sends bytes of one event for long if "
    "it can't go on elsewhere",
    "[gateway]")
{
    // No repeat can be paid, the route doesn't allow another run, or there is
    // no other engine.
    const std::string reason =
        GENERATE(values<std::string>({"budget", "route", "engine"}));
    CAPTURE(reason);
    const bool reports = GENERATE(true, false);
    CAPTURE(reports);
    std::atomic<int> resumed{0};
    const auto slow = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return reports ? report_answer("[]") : no_report();
        if (!resume_after(r).empty()) {
            ++resumed;
            return misdirected(r);
        }
        script fourth = in_pieces(event(4), 200ms);
        fourth.push_back({"", {}, then::close});
        return after_three_events(r, fourth);
    });
    std::vector<site::target_script> engines{slow};
    if (reason != "engine")
        engines.push_back(slow);
    gateway_limits limits;
    if (reason == "budget")
        limits.retry_ratio = limits.retry_slack = 0;
    site s(
        {.kind = "streaming", .resumable = reason != "route", .engines = true},
        engines, limits);
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == three_events + event(4));
    CHECK(resumed == 0);
}

// Bytes are progress in an answer that is not a stream; the deadline bounds it.

TEST_CASE(
    "an idempotent request stays at a target that sends its answer slowly",
    "[gateway]")
{
    const std::string text = "slow but sound";
    const auto slow = with_warm_up([&](const seen_request& r) {
        script all = in_pieces(text, 150ms);
        all.insert(all.begin(), {stream_head(r), {}, then::go_on});
        all.push_back({"", {}, then::close});
        return all;
    });
    site s({.kind = "idempotent", .latency_objective_ms = 200}, {slow, slow});
    const auto a = s.ask(request());
    CHECK(a.complete);
    CHECK(a.body == text);
    CHECK(s.runs == 1);
}

TEST_CASE("an answer that never ends fails at its caller's deadline",
          "[gateway]")
{
    site s({.kind = "idempotent"}, {with_warm_up([](const seen_request& r) {
               return trickle(stream_head(r), "x");
           })});
    const auto a = s.ask(call_text({.method = "POST",
                                    .path = "/p/x",
                                    .id = "id1",
                                    .body = "",
                                    .time_left_ms = 1500,
                                    .adapter = {}}));
    CHECK(a.complete);
    CHECK(a.head.status == 504);
    CHECK(s.runs == 1);
}

TEST_CASE("a stream goes on elsewhere if its engine falls silent after its "
          "caller has read nothing for a while",
          "[gateway]")
{
    // While the caller doesn't read, neither does the gateway, and the engine's
    // silence means nothing.
    constexpr int last = 200;
    std::string events;
    for (int id = 1; id <= last; ++id)
        events += "id: " + std::to_string(id) +
                  "\ndata: " + std::string(std::size_t{64} * 1024, 'x') +
                  "\n\n";
    std::atomic<int> resumed{0};
    const auto engine = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return no_report();
        if (resume_after(r).empty())
            return {{stream_head(r) + events, {}, then::go_on},
                    {"", 60s, then::close}};
        ++resumed;
        return {{stream_head(r) + event(last + 1), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {engine, engine});
    caller c(s.callers_port());
    c.send(request());
    std::this_thread::sleep_for(700ms);
    const auto a = c.read();
    CHECK(a.complete);
    CHECK((a.body == events + event(last + 1))); // too long to be printed
    CHECK(resumed == 1);
}
