#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";

/// A latency objective with which no target counts as silent before the
/// deadline.
constexpr int never_silent_ms = 15000;

/// Number of bytes that an endless target writes at once.
constexpr std::size_t block_bytes = std::size_t{16} * 1024;

/// @return the text, repeated to the size of a block
std::string block_of(const std::string& text)
{
    std::string all;
    while (all.size() < block_bytes)
        all += text;
    return all;
}

/// Slow enough that a gateway without a limit doesn't exhaust the machine's
/// memory.
/// @param begin sent once
/// @param more sent repeatedly until the gateway closes the connection
script endless(const std::string& begin, const std::string& more)
{
    return {{begin, {}, then::go_on}, {block_of(more), 1ms, then::repeat}};
}

/// Sends single bytes at intervals, so that a limit on bytes is never reached.
script trickle(const std::string& begin)
{
    return {{begin, {}, then::go_on}, {"x", 5ms, then::repeat}};
}

std::string without_end_of_head(std::string head)
{
    head.resize(head.size() - 2);
    return head;
}

/// @return the head, for a body in chunks
std::string chunked(const std::string& head)
{
    return without_end_of_head(head) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// @return the head of the answer, for a body that ends with the connection
std::string head_of(const script& answer)
{
    const std::string& all = answer.front().bytes;
    const auto length = all.find("Content-Length");
    return all.substr(0, length) + "\r\n";
}

/// Answers the first request of the test by the given function, later ones with
/// success.
site::target_script only_first(const site::target_script& first)
{
    return with_warm_up([first, asked = std::make_shared<std::atomic<int>>(0)](
                            const seen_request& r) {
        constexpr int ok = 200;
        return ++*asked == 1 ? first(r) : signed_answer(r, ok, "fine");
    });
}

/// Waits until the gateway has closed a connection before its answer was
/// complete.
bool gateway_disconnected(const site& s)
{
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (s.left == 0 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    return s.left > 0;
}

/// Far more than socket buffers and the gateway's own limits can hold.
constexpr std::size_t unread_limit = std::size_t{64} * 1024 * 1024;

/// Waits until targets can write no more, or have written too much.
/// @return number of bytes that targets have written
std::size_t settled(const site& s)
{
    constexpr int enough_rounds = 40;
    std::size_t before = 0;
    for (int still = 0; still < enough_rounds; ++still) {
        std::this_thread::sleep_for(10ms);
        const std::size_t now = s.written;
        if (now > unread_limit)
            return now;
        if (now == before && now > 0)
            continue;
        before = now;
        still = 0;
    }
    return before;
}

/// @return a function that sends the given kind of bytes that never become an
///         answer
site::target_script no_answer_of_kind(const std::string& kind)
{
    return [kind](const seen_request& r) -> script {
        const auto success = promising_head(r, 0);
        if (kind == "status line")
            return endless("HTTP/1.1 200 ", "a");
        if (kind == "header")
            return endless("HTTP/1.1 200 OK\r\nA: ", "b");
        if (kind == "headers")
            return endless("HTTP/1.1 200 OK\r\n", "A: b\r\n");
        if (kind == "interim answers")
            return endless("", "HTTP/1.1 100 Continue\r\n\r\n");
        if (kind == "other answers")
            return endless("", signed_bytes("other", 200, "not yours"));
        if (kind == "other answer's body")
            return endless("HTTP/1.1 200 OK\r\n" + id_header("other") + "\r\n",
                           "not yours");
        if (kind == "chunk extension")
            return endless(chunked(stream_head(r)) + "3;a=", "b");
        if (kind == "trailers")
            return endless(chunked(stream_head(r)) + "3\r\nabc\r\n0\r\n",
                           "A: b\r\n");
        return endless(chunked(stream_head(r)) + "3\r\nabc\r\n0\r\nA: ", "b");
    };
}

std::string any_kind()
{
    return GENERATE(values<std::string>(
        {"status line", "header", "headers", "interim answers", "other answers",
         "other answer's body", "chunk extension", "trailer", "trailers"}));
}

} // namespace

TEST_CASE("an idempotent request is retried when its target sends endless "
          "bytes that never form an answer",
          "[gateway]")
{
    const std::string kind = any_kind();
    CAPTURE(kind);
    const auto target = only_first(no_answer_of_kind(kind));
    site s({.kind = "idempotent", .latency_objective_ms = never_silent_ms},
           {target, target});
    const auto a = s.ask(request_text("id1"));
    CHECK(a.head.status == 200);
    CHECK(a.body == "fine");
    CHECK(gateway_disconnected(s));
}

TEST_CASE("a non-idempotent request gets 502 when its target sends endless "
          "bytes that never form an answer",
          "[gateway]")
{
    const std::string kind = any_kind();
    CAPTURE(kind);
    site s({.kind = "non_idempotent"}, {with_warm_up(no_answer_of_kind(kind))});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.head.status == 502);
    CHECK(s.runs == 1);
    CHECK(gateway_disconnected(s));
}

TEST_CASE("endless bytes after a complete answer are not forwarded",
          "[gateway]")
{
    const auto target = only_first([](const seen_request& r) {
        return endless(signed_bytes(attempt_id(r), 200, "first"), "more");
    });
    site s({.kind = "idempotent"}, {target});
    caller c(s.callers_port());
    c.send(request_text("id1"));
    CHECK(c.read().body == "first");
    CHECK(gateway_disconnected(s));
    c.send(request_text("id2"));
    CHECK(c.read().body == "fine");
}

TEST_CASE("a request that was not run is sent to another target although "
          "the refusal's body is endless",
          "[gateway]")
{
    const int status = GENERATE(421, 429, 503);
    const bool fast = GENERATE(true, false);
    CAPTURE(status, fast);
    const auto target = only_first([&](const seen_request& r) {
        const auto head = head_of(not_run(r, status));
        return fast ? endless(head, "no") : trickle(head);
    });
    site s({.kind = "non_idempotent"}, {target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 200);
    CHECK(a.body == "fine");
    CHECK(gateway_disconnected(s));
}

TEST_CASE("a request that no target ran is refused although the refusals' "
          "bodies are endless",
          "[gateway]")
{
    const auto target = with_warm_up([](const seen_request& r) {
        return endless(head_of(not_run(r, 503)), "no");
    });
    site s({.kind = "non_idempotent"}, {target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.head.status == 503);
    CHECK(s.runs == 2);
}

TEST_CASE("an idempotent request is retried although the failure's body is "
          "endless",
          "[gateway]")
{
    const bool fast = GENERATE(true, false);
    CAPTURE(fast);
    const auto target = only_first([&](const seen_request& r) {
        const auto head = head_of(signed_answer(r, 500, ""));
        return fast ? endless(head, "no") : trickle(head);
    });
    site s({.kind = "idempotent"}, {target, target});
    const auto a = s.ask(request_text("id1"));
    CHECK(a.head.status == 200);
    CHECK(a.body == "fine");
    CHECK(gateway_disconnected(s));
}

TEST_CASE("a caller gets 502 although the body of an unsigned success is "
          "endless",
          "[gateway]")
{
    const bool fast = GENERATE(true, false);
    CAPTURE(fast);
    const auto target = with_warm_up([&](const seen_request& r) {
        const auto head = head_of(unsigned_answer(r, ""));
        return fast ? endless(head, "forged") : trickle(head);
    });
    site s({.kind = "non_idempotent"}, {target, target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.head.status == 502);
    CHECK(s.runs == 1);
    CHECK(gateway_disconnected(s));
}

TEST_CASE("a caller gets a complete 502 although the body of the target's "
          "failure is endless",
          "[gateway]")
{
    const auto target = with_warm_up([](const seen_request& r) {
        return endless(head_of(signed_answer(r, 500, "")), "no");
    });
    site s({.kind = "non_idempotent"}, {target});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.head.status == 502);
    CHECK(gateway_disconnected(s));
}

TEST_CASE("reading of an endless success pauses while the caller doesn't "
          "read",
          "[gateway]")
{
    const std::string kind = GENERATE(
        values<std::string>({"non_idempotent", "idempotent", "streaming"}));
    CAPTURE(kind);
    site s({.kind = kind}, {with_warm_up([](const seen_request& r) {
               return endless(stream_head(r), event(1));
           })});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    CHECK(settled(s) < unread_limit);
    c.leave();
    CHECK(gateway_disconnected(s));
}

TEST_CASE("a slow caller gets a complete long answer that ends with its "
          "connection",
          "[gateway]")
{
    const std::string large(8'000'000, 'x');
    site s({.kind = "non_idempotent"},
           {with_warm_up([&](const seen_request& r) {
               return script{{stream_head(r) + large, {}, then::close}};
           })});
    caller c(s.callers_port());
    c.send(request_text("id1", no_body, "POST"));
    std::this_thread::sleep_for(500ms);
    const auto a = c.read();
    CHECK(a.complete);
    CHECK((a.body == large)); // too long to be printed
}

TEST_CASE("another engine continues a stream that has an endless event",
          "[gateway]")
{
    const bool begun = GENERATE(true, false);
    CAPTURE(begun);
    std::atomic<int> asked{0};
    const auto stream = with_warm_up([&](const seen_request& r) -> script {
        const std::string start = begun ? event(1) : "";
        if (++asked == 1)
            return endless(stream_head(r) + start + "data: ", "x");
        const bool resumed = resume_after(r) == "1";
        return {{stream_head(r) + (resumed ? "" : event(1)) + event(2),
                 {},
                 then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {stream, stream});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    CHECK(gateway_disconnected(s));
}

TEST_CASE("a caller gets 502 when the first event of its stream is endless",
          "[gateway]")
{
    site s({.kind = "streaming"}, {with_warm_up([](const seen_request& r) {
               return endless(stream_head(r) + "data: ", "x");
           })});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.head.status == 502);
    CHECK(gateway_disconnected(s));
}

TEST_CASE("endless answers are not counted as crashes caused by the request",
          "[gateway]")
{
    const std::string kind = any_kind();
    CAPTURE(kind);
    const auto target = with_warm_up([kind](const seen_request& r) {
        return attempt_id(r) == "last" ? signed_answer(r, 200, "fine")
                                       : no_answer_of_kind(kind)(r);
    });
    site s({.kind = "idempotent", .attempts = 3}, {target, target, target});
    CHECK(s.ask(request_text("id1")).head.status == 502);
    CHECK(s.ask(request_text("id2")).head.status == 502);
    CHECK(s.ask(request_text("last")).body == "fine");
}

TEST_CASE("an answer that has begun is not continued with the answer of "
          "another target",
          "[gateway]")
{
    // More than the gateway buffers, from a target that is then silent for
    // longer than its latency objective allows.
    const std::string begun(std::size_t{300} * 1024, 'x');
    std::atomic<int> asked{0};
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (++asked > 1)
            return signed_answer(r, 200, "of another run");
        return {{stream_head(r) + begun, {}, then::go_on},
                {"end", 1500ms, then::close}};
    });
    site s({.kind = "idempotent", .latency_objective_ms = 100},
           {target, target});
    const auto a = s.ask(request_text("id1"));
    CHECK(a.complete);
    CHECK((a.body == begun + "end")); // too long to be printed
    CHECK(s.runs == 1);
}

TEST_CASE("many long events that don't end wait for memory, and another target "
          "serves meanwhile",
          "[gateway]")
{
    // Each is shorter than the limit for one event, which alone bounds nothing.
    const std::string part(std::size_t{500} * 1024, 'x');
    constexpr std::size_t streams = 40;
    constexpr double most_held = 8e6;
    const auto faulty = with_warm_up([&](const seen_request& r) -> script {
        if (!attempt_id(r).starts_with("faulty"))
            return {{stream_head(r) + event(1), {}, then::close}};
        return {{stream_head(r) + "data: " + part, {}, then::go_on},
                {"", 60s, then::close}};
    });
    site s({.kind = "streaming", .latency_objective_ms = never_silent_ms},
           {faulty});
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t i = 0; i < streams; ++i) {
        callers.push_back(std::make_unique<caller>(s.callers_port()));
        callers.back()->send(request_text("faulty" + std::to_string(i)));
    }
    const auto until = std::chrono::steady_clock::now() + max_wait;
    double waiting = 0;
    while (waiting < streams / 2.0 && std::chrono::steady_clock::now() < until)
        waiting = s.metric("answers_waiting_for_memory");
    CHECK(waiting >= streams / 2.0);
    CHECK(s.metric("answer_bytes_held") < most_held);
    CHECK(s.ask(request_text("sound")).body == event(1));
    for (auto& c : callers)
        c->leave();
    while (s.metric("answer_bytes_held") > 0 &&
           std::chrono::steady_clock::now() < until) {
    }
    CHECK(s.metric("answer_bytes_held") == 0);
}

TEST_CASE("a long body is complete although long events have taken all memory",
          "[gateway]")
{
    const std::string part(std::size_t{500} * 1024, 'x');
    constexpr std::size_t streams = 40;
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        if (!attempt_id(r).starts_with("faulty"))
            return {
                {stream_head(r) + "data: " + part + "\n\n", {}, then::close}};
        return {{stream_head(r) + "data: " + part, {}, then::go_on},
                {"", 60s, then::close}};
    });
    site s({.kind = "streaming", .latency_objective_ms = never_silent_ms},
           {target});
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t i = 0; i < streams; ++i) {
        callers.push_back(std::make_unique<caller>(s.callers_port()));
        callers.back()->send(request_text("faulty" + std::to_string(i)));
    }
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (s.metric("answers_waiting_for_memory") < streams / 2.0 &&
           std::chrono::steady_clock::now() < until) {
    }
    caller sound(s.callers_port());
    sound.send(request_text("sound"));
    // The others end, so that the answers that wait get their turn.
    for (auto& c : callers)
        c->leave();
    const auto a = sound.read();
    CHECK(a.complete);
    CHECK(a.body.size() == part.size() + 8);
}
