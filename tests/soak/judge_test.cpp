#include "soak/config_watch.hpp"
#include "soak/judge.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::soak;

namespace {

constexpr time_point start{100s};

/// A judge that keeps what it reports.
struct court
{
    void see(const work& w, time_point at = start)
    {
        j.on_sent(w, "n0", at, 10s, true);
    }
    void run(const work& w, time_point at = start)
    {
        j.on_run(w.id, w, request_body(w), at);
    }
    void answer(const work& w, const answer_facts& f)
    {
        j.on_answer(w.id, f, start);
    }
    /// The connection ends after a time, and all that may excuse it is known.
    void lose(const work& w, duration after = 1s)
    {
        j.on_unanswered(w.id, {}, unanswered::connection_ended, start + after);
        j.settle(start + after + 1s);
    }

    std::vector<broken_promise> broken;
    calm_record calm;
    judge j{calm, 6s, [this](const broken_promise& b) { broken.push_back(b); }};
};

const work post{"a1", "/once/", work_kind::once, 5, 3};
const work get{"a2", "/any/", work_kind::repeatable, 5, 3};
const work events{"a3", "/stream/", work_kind::stream_once, 5, 3};

answer_facts success(const work& w)
{
    return {200, true, true, w.id, answer_body(w)};
}

constexpr int refused = 503;

} // namespace

TEST_CASE("a path names all of the work", "[soak]")
{
    for (const auto& w : {post, get, events})
        CHECK(parse_path(path_of(w)) == w);
    CHECK_FALSE(parse_path("/once/o/a1/5"));
    CHECK_FALSE(parse_path("/once/x/a1/5/3"));
}

TEST_CASE("a whole, signed answer of the request is in order", "[soak]")
{
    court c;
    for (const auto& w : {post, get, events}) {
        c.see(w);
        c.run(w);
        c.answer(w, success(w));
    }
    CHECK(c.broken.empty());
    CHECK(c.j.counts().served == 3);
}

TEST_CASE("a success that is no target's answer to the request is reported",
          "[soak]")
{
    court c;
    c.see(post);
    c.run(post);
    auto f = success(post);
    SECTION("unsigned")
    {
        f.is_signed = false;
    }
    SECTION("of another request")
    {
        f.id = "a9";
    }
    SECTION("truncated")
    {
        f.body.pop_back();
    }
    SECTION("longer")
    {
        f.body += "x";
    }
    c.answer(post, f);
    CHECK(c.broken.size() == 1);
}

TEST_CASE("a success without a run is reported", "[soak]")
{
    court c;
    c.see(get);
    c.answer(get, success(get));
    CHECK(c.broken.size() == 1);
}

TEST_CASE("gaps and repeats in a stream are reported", "[soak]")
{
    court c;
    c.see(events);
    c.run(events);
    auto f = success(events);
    SECTION("gap")
    {
        f.body = event_of(events, 1) + event_of(events, 3);
    }
    SECTION("repeat")
    {
        f.body = event_of(events, 1) + event_of(events, 1) +
                 event_of(events, 2) + event_of(events, 3);
    }
    SECTION("ends early as complete")
    {
        f.body = event_of(events, 1);
    }
    c.answer(events, f);
    CHECK(c.broken.size() == 1);
}

TEST_CASE("a broken stream may end early, but has no gap", "[soak]")
{
    court c;
    c.calm.disturb(start, start + 1s);
    c.see(events);
    c.run(events);
    auto f = success(events);
    f.complete = false;
    f.body = event_of(events, 1) + "id: 2\nda";
    c.j.on_unanswered(events.id, f, unanswered::connection_ended, start + 1s);
    CHECK(c.broken.empty());
    f.body = event_of(events, 2);
    c.j.on_unanswered(events.id, f, unanswered::connection_ended, start + 1s);
    CHECK(c.broken.size() == 1);
}

TEST_CASE("a second run is reported where one is allowed", "[soak]")
{
    court c;
    for (const auto& w : {get, post}) {
        c.see(w);
        c.run(w);
        c.run(w);
    }
    REQUIRE(c.broken.size() == 1);
    CHECK(c.broken.front().request == "a1");
}

TEST_CASE("a run that nobody or somebody else asked for is reported", "[soak]")
{
    court c;
    c.run(post);
    CHECK(c.broken.size() == 1);
    c.see(post);
    auto other = post;
    other.size = 4;
    c.j.on_run(post.id, other, request_body(post), start);
    CHECK(c.broken.size() == 2);
}

TEST_CASE("a refusal of what has run or runs later is reported", "[soak]")
{
    const int status = GENERATE(408, 421, 429, 503);
    court c;
    c.see(post);
    SECTION("before")
    {
        c.run(post);
        c.answer(post, {status, false, true, "", ""});
    }
    SECTION("after")
    {
        c.answer(post, {status, false, true, "", ""});
        c.run(post);
    }
    CHECK(c.broken.size() == 1);
}

TEST_CASE("a refusal of what never runs is in order", "[soak]")
{
    court c;
    c.see(post);
    c.answer(post, {refused, false, true, "", ""});
    CHECK(c.broken.empty());
    CHECK(c.j.counts().refused == 1);
}

TEST_CASE("denials and signed failures are reported", "[soak]")
{
    court c;
    c.see(post);
    SECTION("denied")
    {
        c.answer(post, {404, false, true, "", ""});
    }
    SECTION("signed")
    {
        c.answer(post, {502, true, true, "", ""});
    }
    CHECK(c.broken.size() == 1);
}

TEST_CASE("a lost answer is reported in calm times alone", "[soak]")
{
    court c;
    c.see(get);
    c.run(get);
    SECTION("calm")
    {
        c.lose(get);
        CHECK(c.broken.size() == 1);
    }
    SECTION("a fault shortly before")
    {
        c.calm.disturb(start - 5s, start - 2s);
        c.lose(get);
        CHECK(c.broken.empty());
    }
    SECTION("a fault that is recorded a little later")
    {
        c.j.on_unanswered(get.id, {}, unanswered::connection_ended, start);
        c.j.settle(start);
        c.calm.disturb(start, start + 1s);
        c.j.settle(start + 1s);
        CHECK(c.broken.empty());
    }
    SECTION("a fault afterwards")
    {
        c.calm.disturb(start + 1100ms, start + 2s);
        c.lose(get);
        CHECK(c.broken.size() == 1);
    }
    SECTION("the instance cut it because the time was up")
    {
        c.lose(get, 9950ms);
        CHECK(c.broken.empty());
    }
    SECTION("the caller's time was up")
    {
        c.j.on_unanswered(get.id, {}, unanswered::out_of_time, start + 1s);
        c.j.settle(start + 2s);
        CHECK(c.broken.empty());
    }
}

TEST_CASE("a close may cross a request that reaches no target", "[soak]")
{
    court c;
    c.see(get);
    SECTION("at once")
    {
        c.lose(get, 100ms);
    }
    SECTION("later")
    {
        c.lose(get, 300ms);
        CHECK(c.broken.size() == 1);
        c.broken.clear();
    }
    CHECK(c.broken.empty());
}

TEST_CASE("work beyond the grace time may be broken off", "[soak]")
{
    court c;
    c.j.on_stop("n0", start - 1s);
    c.see(get);
    c.run(get);
    SECTION("at its end")
    {
        c.lose(get, 4500ms);
        CHECK(c.broken.empty());
    }
    SECTION("before")
    {
        c.lose(get, 3s);
        CHECK(c.broken.size() == 1);
    }
}

TEST_CASE("bytes that no request asked for are reported", "[soak]")
{
    court c;
    c.j.on_unasked_bytes("n0", "HTTP/1.1 408 Request Timeout", start);
    CHECK(c.broken.empty());
    c.j.on_unasked_bytes("n0", "HTTP/1.1 200 OK", start);
    CHECK(c.broken.size() == 1);
}

TEST_CASE("a late configuration is reported", "[soak]")
{
    std::vector<broken_promise> broken;
    calm_record calm;
    config_watch w(calm, [&](const auto& b) { broken.push_back(b); });
    w.on_started("n0", start - 10s);
    w.on_acknowledged(1, start - 10s);
    w.on_acknowledged(2, start);
    const auto asked = [&](std::uint64_t version, bool in_force, duration at) {
        w.on_answer("n0", version, in_force, start + at, start + at);
    };
    SECTION("within the bound")
    {
        asked(2, false, 1900ms);
        asked(1, true, 1900ms);
        CHECK(broken.empty());
    }
    SECTION("the new route is unknown")
    {
        asked(2, false, 2100ms);
        CHECK(broken.size() == 1);
    }
    SECTION("the old route is known")
    {
        asked(1, true, 2100ms);
        CHECK(broken.size() == 1);
    }
    SECTION("after a fault")
    {
        calm.disturb(start - 2s, start);
        asked(2, false, 2900ms);
        CHECK(broken.empty());
        asked(2, false, 3100ms);
        CHECK(broken.size() == 1);
    }
    SECTION("of an instance that has just started")
    {
        w.on_started("n0", start);
        asked(2, false, 2900ms);
        CHECK(broken.empty());
        asked(2, false, 3100ms);
        CHECK(broken.size() == 1);
    }
    SECTION("of an instance that stops")
    {
        w.on_stop("n0");
        asked(2, false, 10s);
        CHECK(broken.empty());
    }
}

TEST_CASE("a configuration that goes back is reported", "[soak]")
{
    std::vector<broken_promise> broken;
    calm_record calm;
    config_watch w(calm, [&](const auto& b) { broken.push_back(b); });
    w.on_started("n0", start - 10s);
    w.on_acknowledged(1, start - 10s);
    w.on_acknowledged(2, start);
    w.on_answer("n0", 2, true, start, start + 100ms);
    SECTION("an answer that was overtaken")
    {
        w.on_answer("n0", 2, false, start + 300ms, start + 300ms);
        CHECK(broken.empty());
    }
    SECTION("the version is gone")
    {
        w.on_answer("n0", 2, false, start + 400ms, start + 400ms);
        CHECK(broken.size() == 1);
    }
    SECTION("the one before is back")
    {
        w.on_answer("n0", 1, true, start + 400ms, start + 400ms);
        CHECK(broken.size() == 1);
    }
    SECTION("in another lifetime")
    {
        w.on_started("n0", start + 200ms);
        w.on_answer("n0", 2, false, start + 400ms, start + 400ms);
        CHECK(broken.empty());
    }
}
