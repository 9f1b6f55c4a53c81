#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";

/// An objective with which no target counts as silent before the deadline.
constexpr int never_silent_ms = 15000;

/// Written at once by a target that sends without end.
constexpr std::size_t block_bytes = std::size_t{16} * 1024;

/// @return the text, repeated up to a block
std::string block_of(const std::string& text)
{
    std::string all;
    while (all.size() < block_bytes)
        all += text;
    return all;
}

/// Slow enough that a gateway without a bound doesn't fill the machine.
/// @param begin sent once
/// @param more sent again and again until the gateway closes
script endless(const std::string& begin, const std::string& more)
{
    return {{begin, {}, then::go_on}, {block_of(more), 1ms, then::repeat}};
}

/// Sends a byte now and then, so that a bound on bytes is never reached.
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

/// @return the head of a whole answer, for a body that ends with the connection
std::string head_of(const script& answer)
{
    const std::string& all = answer.front().bytes;
    const auto length = all.find("Content-Length");
    return all.substr(0, length) + "\r\n";
}

/// The first request of the test gets one answer, later ones succeed.
site::target_script only_first(const site::target_script& first)
{
    return with_warm_up([first, asked = std::make_shared<std::atomic<int>>(0)](
                            const seen_request& r) {
        constexpr int ok = 200;
        return ++*asked == 1 ? first(r) : signed_answer(r, ok, "fine");
    });
}

/// Waits until the gateway has closed a connection within an answer.
bool gateway_disconnected(const site& s)
{
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (s.left == 0 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    return s.left > 0;
}

/// Far more than sockets on the way and the gateway's own bounds hold.
constexpr std::size_t unread_limit = std::size_t{64} * 1024 * 1024;

/// Waits until targets can't write on, or have written too much.
/// @return bytes that targets have written
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

/// @return a target's first answer of the kind that never becomes one
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

TEST_CASE("another target serves what a target answers with no answer, without "
          "end",
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

TEST_CASE("a caller is told of a failure when its target answers with no "
          "answer, without end",
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

TEST_CASE("bytes without end after a whole answer reach nobody", "[gateway]")
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

TEST_CASE("a request that was not run goes on at another target while the "
          "refusal's body has no end",
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
          "bodies have no end",
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

TEST_CASE("an idempotent request is tried again while a failure's body has no "
          "end",
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

TEST_CASE("a caller is told of a failure while the body of a success without "
          "the target's signature has no end",
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

TEST_CASE("a caller gets a whole failure although the target's failure has no "
          "end",
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

TEST_CASE("a success without end is kept at its target while the caller "
          "doesn't read",
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

TEST_CASE("a long answer that ends with its connection reaches a slow caller "
          "whole",
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

TEST_CASE("another engine serves a stream whose event has no end", "[gateway]")
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

TEST_CASE("a caller is told of a failure when the first event of its stream "
          "has no end",
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

TEST_CASE("a request isn't taken for one that crashes engines when its answers "
          "never end",
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

TEST_CASE("an answer that has begun is not continued with that of another "
          "target",
          "[gateway]")
{
    // More than is held back, from a target that then is silent for longer
    // than its objective allows.
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
