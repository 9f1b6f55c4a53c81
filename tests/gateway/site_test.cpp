#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <mutex>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";

script good(const seen_request& r, const std::string& body = "fine")
{
    return signed_answer(r, 200, body);
}

/// @return a request without an attempt id
std::string without_id(const std::string& method, const std::string& more,
                       const std::string& body)
{
    return method + " /p/x HTTP/1.1\r\nHost: h\r\n" + more + "\r\n" + body;
}

/// An engine that holds adapter a0 and loads other adapters slowly. Its
/// functions are called on one thread only.
class slow_engine
{
public:
    explicit slow_engine(duration load_time) : load_time_(load_time) {}

    script answer(const seen_request& r)
    {
        if (is_report(r))
            return report_answer(is_loaded() ? R"(["a0@1","a1@1"])"
                                             : R"(["a0@1"])");
        if (is_order(r)) {
            ordered_ = net::event_loop::now().mono;
            return {{whole_answer(202, {}, ""), {}, then::go_on}};
        }
        if (asks_for(r, "a0") || is_loaded())
            return good(r, "in the end");
        return misdirected(r);
    }

private:
    [[nodiscard]] bool is_loaded() const
    {
        return ordered_ != time_point{} &&
               net::event_loop::now().mono - ordered_ >= load_time_;
    }

    duration load_time_;
    time_point ordered_{};
};

} // namespace

TEST_CASE("a request waits for the engine that loads its adapter, even if "
          "the load takes longer than estimated",
          "[gateway]")
{
    // Longer than the initial estimate of a load, but shorter than the time
    // until the gateway gives up.
    slow_engine engine(300ms);
    site s({.kind = "non_idempotent", .engines = true},
           {with_warm_up(
               [&](const seen_request& r) { return engine.answer(r); })});
    // Waits until the instance owns the engine.
    const auto ask_for = [&](const std::string& adapter) {
        return s.ask(
            request_text("id1", no_body + adapter_header(adapter), "POST"));
    };
    while (ask_for("a0").head.status != 200)
        std::this_thread::sleep_for(20ms);
    const auto a = ask_for("a1");
    CHECK(a.head.status == 200);
    CHECK(a.body == "in the end");
}

TEST_CASE("a request reaches its target unchanged and is answered", "[gateway]")
{
    std::mutex mutex;
    seen_request seen;
    site s({.kind = "non_idempotent"},
           {with_warm_up([&](const seen_request& r) {
               const std::lock_guard lock(mutex);
               seen = r;
               return good(r, "the answer");
           })});
    const auto a =
        s.ask(request_text("id1",
                           "Transfer-Encoding: chunked\r\nX-Own: 7\r\n" +
                               system_header(),
                           "POST") +
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(a.head.status == 200);
    CHECK(a.complete);
    CHECK(a.body == "the answer");
    CHECK(is_signed(a.head));
    const std::lock_guard lock(mutex);
    CHECK(seen.body == "abcde");
    CHECK(seen.head.target == "/p/x");
    CHECK(seen.head.header("X-Own") == "7");
    CHECK(expected_target(seen) == "i-0");
    CHECK_FALSE(has_system_header(seen));
}

TEST_CASE("a non-idempotent request is not sent again after a reset",
          "[gateway]")
{
    site s({.kind = "non_idempotent"},
           {with_warm_up([](const seen_request&) {
                return script{{"", {}, then::reset}};
            }),
            with_warm_up([](const seen_request&) {
                return script{{"", {}, then::reset}};
            })});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 502);
    CHECK(s.runs == 1);
}

TEST_CASE("a request that its target did not run is sent to another target",
          "[gateway]")
{
    std::atomic<int> asked{0};
    const auto first_refuses = with_warm_up([&](const seen_request& r) {
        if (++asked == 1)
            return not_run(r, 503);
        return good(r);
    });
    site s({.kind = "non_idempotent"}, {first_refuses, first_refuses});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 200);
    CHECK(s.runs == 2);
}

TEST_CASE("a request refused by all targets gets 503 with Retry-After",
          "[gateway]")
{
    const auto refuses =
        with_warm_up([](const seen_request& r) { return not_run(r, 503); });
    site s({.kind = "non_idempotent"}, {refuses, refuses});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 503);
    CHECK_FALSE(a.head.header("Retry-After").empty());
}

TEST_CASE("each target that answers 421 is tried only once", "[gateway]")
{
    std::atomic<int> first{0};
    const auto lacks_it = with_warm_up([&](const seen_request& r) {
        ++first;
        return misdirected(r);
    });
    site s({.kind = "non_idempotent"}, {lacks_it, lacks_it});
    const auto a =
        s.ask(request_text("id1", no_body + adapter_header("a1"), "POST"));
    CHECK(a.head.status == 503);
    CHECK(first <= 2);
}

TEST_CASE("an idempotent request is tried again after a failure", "[gateway]")
{
    std::atomic<int> asked{0};
    const auto fails_once = with_warm_up([&](const seen_request& r) {
        if (++asked > 1)
            return good(r);
        return signed_answer(r, 500, "no");
    });
    site s({.kind = "idempotent"}, {fails_once, fails_once});
    const auto a = s.ask(request_text("id1"));
    CHECK(a.head.status == 200);
    CHECK(a.body == "fine");
}

TEST_CASE("a success without the target's signature is not forwarded to the "
          "caller",
          "[gateway]")
{
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               return unsigned_answer(r, "forged");
           })});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 502);
    CHECK(a.body.find("forged") == std::string::npos);
}

TEST_CASE("an answer to another request is skipped", "[gateway]")
{
    site s({.kind = "idempotent"}, {with_warm_up([](const seen_request& r) {
               return script{{signed_bytes("other", 200, "not yours") +
                                  signed_bytes(attempt_id(r), 200, "yours"),
                              {},
                              then::go_on}};
           })});
    for (int i = 0; i < 3; ++i) {
        const auto a = s.ask(request_text("id" + std::to_string(i)));
        CHECK(a.body == "yours");
    }
}

TEST_CASE("a duplicate answer is not used for the next request", "[gateway]")
{
    site s(
        {.kind = "idempotent"}, {with_warm_up([](const seen_request& r) {
            const auto bytes = signed_bytes(attempt_id(r), 200, attempt_id(r));
            return script{{bytes, {}, then::go_on}, {bytes, 2ms, then::go_on}};
        })});
    caller c(s.callers_port());
    for (int i = 0; i < 20; ++i) {
        const auto id = "id" + std::to_string(i);
        c.send(request_text(id));
        const auto a = c.read();
        REQUIRE(a.head.status == 200);
        CHECK(attempt_id(a.head) == id);
        CHECK(a.body == id);
    }
}

TEST_CASE("a truncated answer to a non-idempotent request becomes a 502",
          "[gateway]")
{
    const auto cuts = with_warm_up([](const seen_request& r) {
        return script{{promising_head(r, 90) + "half", {}, then::close}};
    });
    site s({.kind = "non_idempotent"}, {cuts});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 502);
}

TEST_CASE("a resumable stream continues at another target without a gap or "
          "a duplicate",
          "[gateway]")
{
    const auto stream = with_warm_up([](const seen_request& r) -> script {
        const auto after = resume_after(r);
        if (after.empty())
            return {{stream_head(r) + event(1) + event(2) + "id: 3\nda",
                     {},
                     then::go_on},
                    {"", 5ms, then::reset}};
        if (after != "2")
            return unsigned_answer(r, "wrong place");
        return {{stream_head(r) + event(3), {}, then::go_on},
                {event(4), 2ms, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {stream, stream});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2) + event(3) + event(4));
}

TEST_CASE("a silent stream isn't aborted while other targets refuse to "
          "resume it",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return {{"", 60s, then::close}};
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {event(2), 60s, then::close}};
        if (resumed++ < 3)
            return not_run(r, 503);
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("a silent stream stays at an engine that responds to a probe",
          "[gateway]")
{
    const auto pauses = with_warm_up([](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        if (!resume_after(r).empty())
            return misdirected(r);
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 2500ms, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {pauses, pauses});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("a silent stream stays at an engine that resets further connections",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto overloaded = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return {{"", {}, then::reset}};
        if (!resume_after(r).empty()) {
            ++resumed;
            return misdirected(r);
        }
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 2500ms, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {overloaded, overloaded});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(resumed == 0);
}

TEST_CASE("a stream that left a silent engine isn't truncated when the engine "
          "that resumes it resets the connection",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return {{"", 60s, then::close}};
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {event(2), 60s, then::close}};
        if (resumed++ == 0)
            return {{"", {}, then::reset}};
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .attempts = 2},
           {target, target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("a stream that can't be resumed isn't sent again at short intervals "
          "until its deadline",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (!resume_after(r).empty()) {
            ++resumed;
            return {{"", {}, then::reset}};
        }
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 60s, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {target, target});
    const auto a = s.ask(call_text({.method = "POST",
                                    .path = "/p/x",
                                    .id = "id1",
                                    .body = "",
                                    .time_left_ms = 4000,
                                    .adapter = {}}));
    CHECK_FALSE(a.complete);
    // Delays of 120 to 1,000 ms, each followed by a send to both targets.
    CHECK(resumed <= 14);
    CHECK(resumed >= 2);
}

TEST_CASE("a stream goes on at another engine when all that ran it have ended",
          "[gateway]")
{
    constexpr int engines = 3;
    constexpr int attempts = 2;
    std::atomic<int> asked{0};
    std::array<std::atomic<int>, engines> position{}; // in order of requests
    std::vector<site::target_script> scripts;
    for (auto& own : position)
        scripts.push_back(with_warm_up([&](const seen_request& r) -> script {
            if (own == 0)
                own = ++asked;
            if (resume_after(r).empty())
                return {{stream_head(r) + event(1), {}, then::go_on},
                        {"", 50ms, then::reset}};
            if (own <= attempts)
                return {{"", {}, then::reset}};
            return {{stream_head(r) + event(2), {}, then::close}};
        }));
    site s({.kind = "streaming", .resumable = true, .attempts = attempts},
           scripts);
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    while (std::ranges::count_if(
               position, [](const auto& p) { return p != 0; }) < attempts)
        std::this_thread::sleep_for(5ms);
    for (std::size_t i = 0; i < engines; ++i)
        if (position.at(i) != 0)
            s.publish_unreachable(i);
    const auto a = c.read();
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("a stream isn't probed or left when its service leaves the "
          "configuration",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto pauses = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        if (!resume_after(r).empty()) {
            ++resumed;
            return {{stream_head(r) + event(2), {}, then::close}};
        }
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 2500ms, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {pauses, pauses});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    std::this_thread::sleep_for(300ms);
    s.change([](platform_store& store) {
        auto text = config_text({.version = 2, .prefix = "/q/"});
        for (std::size_t at = 0; (at = text.find("\"s\"", at)) != text.npos;)
            text.replace(at, 3, "\"t\"");
        store.put_config(text);
    });
    const auto a = c.read();
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(resumed == 0);
}

TEST_CASE("a request stays at an engine that is slow to send its first event "
          "and responds to a probe",
          "[gateway]")
{
    // An engine that reads long prompts is slow, and a prompt that is given up
    // is read again elsewhere.
    std::atomic<int> sends{0};
    const auto reads_long = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return report_answer("[]");
        ++sends;
        return {{stream_head(r), {}, then::go_on},
                {event(1), 1900ms, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {reads_long, reads_long});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1));
    CHECK(sends == 1);
}

TEST_CASE("a request leaves an engine whose first event takes several times "
          "as long as usual",
          "[gateway]")
{
    std::atomic<int> sends{0};
    const auto loses_second =
        with_warm_up([&](const seen_request& r) -> script {
            if (is_report(r))
                return report_answer("[]");
            if (++sends == 2)
                return {{stream_head(r), {}, then::go_on},
                        {event(1), 60s, then::close}};
            return {{stream_head(r) + event(1), {}, then::close}};
        });
    site s({.kind = "streaming", .resumable = true, .engines = true},
           {loses_second, loses_second});
    CHECK(s.ask(request_text("id1", no_body, "POST")).body == event(1));
    const auto a = s.ask(request_text("id2", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1));
    CHECK(sends == 3);
}

TEST_CASE("a plain target gets no report request", "[gateway]")
{
    std::atomic<int> reports{0};
    const auto pauses = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            ++reports;
        if (!resume_after(r).empty())
            return {{stream_head(r) + event(2), {}, then::close}};
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 60s, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {pauses, pauses});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(reports == 0);
}

TEST_CASE("a stream continues when the engine that resumes it resets the "
          "connection before its answer",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {"", 50ms, then::reset}};
        if (resumed++ < 1)
            return {{"", {}, then::reset}};
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .attempts = 3},
           {target, target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(resumed == 2);
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("a refusal to resume a stream is not written into the stream",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {"", 5ms, then::reset}};
        if (resumed++ == 0)
            return not_run(r, 400);
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.body.find("HTTP/1.1") == std::string::npos);
    CHECK((a.body == event(1) || a.body == event(1) + event(2)));
}

TEST_CASE("an error of the engine that should resume a stream is not written "
          "into the stream",
          "[gateway]")
{
    const std::string text = "id: 7\ndata: error\n\n";
    const auto answer = GENERATE_COPY(
        std::pair("500",
                  whole_answer(500, {"Content-Type: text/event-stream"}, text)),
        std::pair("302", whole_answer(302, {"Location: /"}, text)),
        std::pair("204", whole_answer(204, {}, "")),
        std::pair("206", whole_answer(206, {}, text)),
        std::pair("200, another type",
                  whole_answer(200, {"Content-Type: text/plain"}, text)),
        std::pair("200, without a type", whole_answer(200, {}, text)),
        std::pair("200, nothing", whole_answer(200, {}, "")));
    CAPTURE(answer.first);
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {"", 5ms, then::reset}};
        if (resumed++ == 0)
            return with_header({{answer.second, {}, then::go_on}},
                               id_header(attempt_id(r)) + signature_header());
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(resumed == 2);
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("the head of an error that an engine writes into its stream doesn't "
          "reach the caller",
          "[gateway]")
{
    const std::string error =
        "HTTP/1.1 500 Error\r\nContent-Length: 6\r\n\r\nerror\n\n";
    const bool after_event = GENERATE(true, false);
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (resume_after(r).empty() && after_event)
            return {{stream_head(r) + event(1) + error, {}, then::close}};
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {"", 5ms, then::reset}};
        if (!after_event && resume_after(r) == "1")
            return {{stream_head(r) + event(2) + error, {}, then::close}};
        const int last = after_event ? 1 : 2;
        return {{stream_head(r) + event(last + 1), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true, .attempts = 3},
           {target, target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body.find("HTTP/1.1") == std::string::npos);
    CHECK(a.body ==
          (after_event ? event(1) + event(2) : event(1) + event(2) + event(3)));
}

TEST_CASE("a silent stream stays at its target if the retry budget is empty",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto pauses = with_warm_up([&](const seen_request& r) -> script {
        if (is_report(r))
            return {{"", 60s, then::close}};
        if (!resume_after(r).empty()) {
            ++resumed;
            return not_run(r, 503);
        }
        return {{stream_head(r) + event(1), {}, then::go_on},
                {event(2), 2500ms, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {pauses, pauses},
           {.retry_ratio = 0, .retry_slack = 0});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(resumed == 0);
}

TEST_CASE("a stream isn't truncated when its engine breaks off while the retry "
          "budget is used up",
          "[gateway]")
{
    std::atomic<int> resumed{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (!resume_after(r).empty()) {
            if (resumed++ == 0)
                return {{"", {}, then::reset}};
            return {{stream_head(r) + event(2), {}, then::close}};
        }
        return {{stream_head(r) + event(1), {}, then::go_on},
                {"", 50ms, then::reset}};
    });
    // One repeat in each window.
    site s({.kind = "streaming", .resumable = true}, {target, target},
           {.retry_ratio = 0, .retry_slack = 1.3, .retry_window = 1s});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(resumed == 2);
}

TEST_CASE("a stream that may not be resumed is truncated when its target "
          "breaks the connection",
          "[gateway]")
{
    const auto stream = with_warm_up([](const seen_request& r) -> script {
        return {{stream_head(r) + event(1), {}, then::go_on},
                {"", 5ms, then::reset}};
    });
    site s({.kind = "streaming"}, {stream, stream});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 200);
    CHECK_FALSE(a.complete);
    CHECK(a.body == event(1));
    CHECK(s.runs == 1);
}

TEST_CASE("the connection to the target is closed when the caller "
          "disconnects",
          "[gateway]")
{
    std::promise<void> reached;
    std::atomic<bool> told{false};
    site s({.kind = "non_idempotent"},
           {with_warm_up([&](const seen_request& r) {
               if (!told.exchange(true))
                   reached.set_value();
               auto answer = good(r);
               answer.front().delay = 60s;
               return answer;
           })});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    reached.get_future().wait();
    c.leave();
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (s.left == 0 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    CHECK(s.left == 1);
}

TEST_CASE("a new configuration comes into force even if the store has "
          "discarded its history",
          "[gateway]")
{
    site s({.kind = "idempotent"},
           {with_warm_up([](const seen_request& r) { return good(r); })});
    CHECK(s.ask(request_text("id1")).head.status == 200);
    s.change([](platform_store& store) {
        store.compact();
        store.put_config(config_text({.version = 5, .prefix = "/other/"}));
    });
    const auto until = std::chrono::steady_clock::now() + max_wait;
    int status = 200;
    while (status == 200 && std::chrono::steady_clock::now() < until)
        status = s.ask(request_text("id2")).head.status;
    CHECK(status == 404);
}

TEST_CASE("odd entries among those of the targets neither end the process nor "
          "stop it from following the store",
          "[gateway]")
{
    const auto target =
        with_warm_up([](const seen_request& r) { return good(r); });
    site s({.kind = "idempotent"}, {target, target});
    s.change([](platform_store& store) {
        constexpr std::size_t depth = 100000;
        store.put_target("odd-1", std::string(depth, '['));
        store.put_target("odd-2", std::string(depth, '{'));
        store.put_target("odd-3",
                         R"({"service":"s","address":"127.0.0.1:99999",)"
                         R"("state":"ready","born":1e400})");
        store.put_target("odd-4", R"({"service":"s","address":"127.0.0.1:1",)"
                                  R"("state":"ready","slots":1e300})");
        store.put_target("odd-5", "\xff\xfe\x00");
        store.put("op/version/odd", R"({"model":{},"version":-1e300})");
    });
    s.unlist(0);
    s.change([](platform_store& store) {
        store.put_config(
            config_text(site_description{.version = 2, .prefix = "/new/"}));
    });
    const auto text = [] {
        auto t = request_text("id1");
        return t.replace(t.find("/p/"), 3, "/new/");
    }();
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (s.ask(text).head.status != 200 &&
           std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(10ms);
    CHECK(s.ask(text).head.status == 200);
}

TEST_CASE("a request for an adapter whose name is not UTF-8 doesn't end the "
          "process",
          "[gateway]")
{
    slow_engine engine(1ms);
    site s({.kind = "non_idempotent",
            .latency_objective_ms = 100,
            .engines = true},
           {with_warm_up(
               [&](const seen_request& r) { return engine.answer(r); })});
    const auto ask_for = [&](const std::string& adapter) {
        return s.ask(
            request_text("id1", no_body + adapter_header(adapter), "POST"));
    };
    while (ask_for("a0").head.status != 200)
        std::this_thread::sleep_for(20ms);
    (void)ask_for("\xff\xfe");
    CHECK(ask_for("a0").head.status == 200);
}

TEST_CASE("requests are served while the store is down", "[gateway]")
{
    site s({.kind = "idempotent"},
           {with_warm_up([](const seen_request& r) { return good(r); })});
    s.change([](platform_store& store) { store.set_down(true); });
    for (int i = 0; i < 5; ++i) {
        CHECK(s.ask(request_text("id" + std::to_string(i))).head.status == 200);
        std::this_thread::sleep_for(20ms);
    }
}

TEST_CASE("a graceful shutdown lets the request in progress end", "[gateway]")
{
    std::promise<void> reached;
    site s({.kind = "non_idempotent"},
           {with_warm_up([&](const seen_request& r) {
               reached.set_value();
               auto answer = good(r, "in time");
               answer.front().delay = 300ms;
               return answer;
           })});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    reached.get_future().wait();
    std::thread stopper([&] { s.stop(); });
    const auto a = c.read();
    CHECK(a.head.status == 200);
    CHECK(a.body == "in time");
    CHECK(a.head.header("Connection") == "close");
    stopper.join();
}

TEST_CASE("a request that is open at the end of a graceful shutdown is "
          "answered",
          "[gateway]")
{
    std::promise<void> reached;
    site s({.kind = "non_idempotent"},
           {with_warm_up([&](const seen_request& r) {
               reached.set_value();
               auto answer = good(r);
               answer.front().delay = 60s;
               return answer;
           })});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    reached.get_future().wait();
    std::thread stopper([&] { s.stop(); });
    const auto a = c.read();
    CHECK(a.complete);
    CHECK(a.head.status == 504);
    stopper.join();
}

TEST_CASE("a request that is open when a late event loop ends is answered",
          "[gateway]")
{
    gateway_limits limits;
    limits.stop_grace = 2s;
    limits.on_reload = [] { std::this_thread::sleep_for(1s); };
    site s({.kind = "idempotent"}, {with_warm_up([](const seen_request&) {
               return script{{"", 10s, then::close}};
           })},
           limits);
    caller c(s.callers_port());
    c.send(request_text("id1"));
    while (s.runs == 0)
        std::this_thread::sleep_for(5ms);
    std::thread stopping([&] { s.stop(); });
    std::this_thread::sleep_for(1500ms);
    s.reload(); // the loop is late until the process has to end
    const auto a = c.read();
    stopping.join();
    CHECK(a.complete);
    CHECK(a.head.status == 504);
}

TEST_CASE(
    "a stopping instance answers a request of which it has received a part",
    "[gateway]")
{
    gateway_limits limits;
    limits.stop_grace = 6s;
    site s({.kind = "idempotent"},
           {with_warm_up([](const seen_request& r) { return good(r); })},
           limits);
    caller c(s.callers_port());
    std::thread stopping([&] { s.stop(); });
    std::this_thread::sleep_for(1s);
    const std::string text = request_text("id1");
    c.send(text.substr(0, text.size() / 2));
    std::this_thread::sleep_for(2s); // past the time in which callers arrive
    c.send(text.substr(text.size() / 2));
    const auto a = c.read();
    stopping.join();
    CHECK(a.complete);
    CHECK(a.head.status == 503);
}

TEST_CASE(
    "a stopping instance answers a request that has arrived while its event "
    "loop was late",
    "[gateway]")
{
    gateway_limits limits;
    limits.stop_grace = 6s;
    limits.on_reload = [] { std::this_thread::sleep_for(1200ms); };
    site s({.kind = "idempotent"},
           {with_warm_up([](const seen_request& r) { return good(r); })},
           limits);
    caller c(s.callers_port());
    c.send(request_text("id1"));
    REQUIRE(c.read().head.status == 200);
    std::thread stopping([&] { s.stop(); });
    std::this_thread::sleep_for(1600ms);
    s.reload(); // the loop is late until callers have stopped arriving
    std::this_thread::sleep_for(800ms);
    c.send(request_text("id2"));
    const auto a = c.read();
    stopping.join();
    CHECK(a.complete);
}

TEST_CASE(
    "a request that has arrived while the event loop was late is answered "
    "though its connection has been idle for too long since",
    "[gateway]")
{
    gateway_limits limits;
    limits.on_reload = [] { std::this_thread::sleep_for(900ms); };
    site s({.kind = "idempotent", .idle_timeout_ms = 1000},
           {with_warm_up([](const seen_request& r) { return good(r); })},
           limits);
    caller c(s.callers_port());
    c.send(request_text("id1"));
    REQUIRE(c.read().head.status == 200);
    std::this_thread::sleep_for(300ms);
    s.reload(); // the loop is late until the idle timeout has passed
    std::this_thread::sleep_for(300ms);
    c.send(request_text("id2"));
    const auto a = c.read();
    CHECK(a.complete);
    CHECK(a.head.status == 200);
}

TEST_CASE("a request whose last bytes have arrived while the event loop was "
          "late isn't refused as too slow",
          "[gateway]")
{
    gateway_limits limits;
    limits.on_reload = [] { std::this_thread::sleep_for(2500ms); };
    site s({.kind = "idempotent", .idle_timeout_ms = 5000},
           {with_warm_up([](const seen_request& r) { return good(r); })},
           limits);
    caller c(s.callers_port());
    const std::string text = request_text("id1");
    c.send(text.substr(0, text.size() / 2));
    std::this_thread::sleep_for(1200ms);
    s.reload(); // the loop is late until the time for heads has passed
    std::this_thread::sleep_for(300ms);
    c.send(text.substr(text.size() / 2));
    CHECK(c.read().head.status == 200);
}

TEST_CASE("a graceful shutdown ends a request that waits for an adapter "
          "early",
          "[gateway]")
{
    slow_engine engine(60s);
    site s(
        {.kind = "non_idempotent", .engines = true},
        {with_warm_up([&](const seen_request& r) { return engine.answer(r); })},
        // A request that is answered only at the end of the grace time would
        // wait this long.
        {.stop_grace = 40s});
    const auto ask_for = [&](const std::string& adapter) {
        return s.ask(
            request_text("id1", no_body + adapter_header(adapter), "POST"));
    };
    while (ask_for("a0").head.status != 200)
        std::this_thread::sleep_for(20ms);
    caller c(s.callers_port());
    c.send(request_text("id2", no_body + adapter_header("a1"), "POST"));
    std::this_thread::sleep_for(200ms);
    std::thread stopper([&] { s.stop(); });
    const auto a = c.read();
    CHECK(a.complete);
    CHECK(a.head.status == 503);
    stopper.join();
}

TEST_CASE("a graceful shutdown waits until slow callers have their answers",
          "[gateway]")
{
    const std::string large(6'000'000, 'x');
    std::promise<void> reached;
    site s({.kind = "non_idempotent"},
           {with_warm_up([&](const seen_request& r) {
               reached.set_value();
               return good(r, large);
           })},
           {.stop_grace = 20s});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    reached.get_future().wait();
    std::thread stopper([&] { s.stop(); });
    // Longer than the platform routes callers to an instance that stops.
    std::this_thread::sleep_for(3s);
    const auto a = c.read();
    CHECK(a.complete);
    CHECK((a.body == large)); // too long to be printed
    stopper.join();
}

TEST_CASE("a slow caller gets the complete answer to its last request",
          "[gateway]")
{
    const std::string large(6'000'000, 'x');
    site s(
        {.kind = "non_idempotent"},
        {with_warm_up([&](const seen_request& r) { return good(r, large); })});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body + "Connection: close\r\n", "POST"));
    // Longer than the time after which a connection is closed whose caller has
    // its whole answer.
    std::this_thread::sleep_for(1500ms);
    const auto a = c.read();
    CHECK(a.complete);
    CHECK((a.body == large)); // too long to be printed
}

TEST_CASE("malformed, oversized and unrouted requests are refused without "
          "reaching a target",
          "[gateway]")
{
    site s({.kind = "idempotent"},
           {with_warm_up([](const seen_request& r) { return good(r); })});
    CHECK(s.ask(without_id("GET", "", "")).head.status == 400);
    CHECK(
        s.ask(without_id("POST",
                         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                         "0\r\n\r\n"))
            .head.status == 400);
    CHECK(s.ask("POST /p/x HTTP/1.1\r\nHost: h\r\n" + id_header("a") +
                "Content-Length: 99999999\r\n\r\nabc")
              .head.status == 413);
    CHECK(s.ask("GET /none HTTP/1.1\r\nHost: h\r\n" + id_header("a") + "\r\n")
              .head.status == 404);
    CHECK(s.runs == 0);
}

TEST_CASE("a stopping instance refuses a request that it could not finish "
          "before it is sent",
          "[gateway]")
{
    const std::string kind =
        GENERATE(values<std::string>({"non_idempotent", "idempotent"}));
    CAPTURE(kind);
    constexpr duration run_time = 1200ms;
    constexpr int earlier_requests = 20;
    site s({.kind = kind}, {with_warm_up([&](const seen_request& r) {
               auto answer = good(r, "fine");
               answer.front().delay = run_time;
               return answer;
           })});
    std::vector<std::unique_ptr<caller>> earlier;
    for (int n = 0; n < earlier_requests; ++n) {
        earlier.push_back(std::make_unique<caller>(s.callers_port()));
        earlier.back()->send(
            request_text("id" + std::to_string(n), no_body, "POST"));
    }
    for (auto& c : earlier)
        CHECK(c->read().head.status == 200);
    std::thread stopping([&] { s.stop(); });
    std::this_thread::sleep_for(1s); // of a grace time of 2 s
    earlier.front()->send(request_text("late", no_body, "POST"));
    const auto a = earlier.front()->read();
    stopping.join();
    CHECK(a.complete);
    CHECK(a.head.status == 503);
    CHECK(s.runs == earlier_requests);
}
