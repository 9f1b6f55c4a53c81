#include "soak/judge.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::soak;

namespace {

constexpr time_point start{100s};
const std::string instance_name = "n0";
const target_life leaver{"t0", 1};
const target_life other_life{"t0", 2};
const target_life other_target{"t1", 1};

/// A watch that keeps what it reports, beside one instance's requests.
struct watch_fixture
{
    /// A caller's request reaches a target.
    std::string arrive(const target_life& at, duration sent, duration arrived,
                       const std::string& instance = instance_name)
    {
        const std::string id = "a" + std::to_string(++requests);
        w.on_sent(id, instance, start + sent);
        w.on_arrival(id, at, start + arrived);
        return id;
    }
    /// A target runs a request and says that it leaves; the caller gets the
    /// answer.
    void pass_on_leaving(duration at)
    {
        const std::string id = arrive(leaver, at, at);
        w.on_target_answer(id, {leaver, true, true, {}}, start + at);
        w.on_passed_on(id, start + at);
    }
    /// A target asks for no requests.
    /// @return the request that it turned away
    std::string ask_to_wait(duration at, duration lasts)
    {
        std::string id = arrive(leaver, at, at);
        w.on_target_answer(id, {leaver, false, false, lasts}, start + at);
        return id;
    }
    void arrive_often(int times, const target_life& at, duration arrived)
    {
        for (int i = 0; i < times; ++i)
            arrive(at, arrived, arrived);
    }

    std::vector<broken_promise> broken;
    notice_watch w{[this](const broken_promise& b) { broken.push_back(b); }};
    int requests = 0;
};

} // namespace

// An instance that goes by the store alone sends on to a target that leaves.
TEST_CASE("a request that was sent later than the drain limit is reported",
          "[soak]")
{
    watch_fixture f;
    f.pass_on_leaving(0s);
    f.arrive(leaver, drain_after_notice, 5s);
    CHECK(f.broken.empty());
    f.arrive(leaver, drain_after_notice + 1ms, 5s);
    REQUIRE(f.broken.size() == 1);
    CHECK(f.broken.front().instance == instance_name);
    CHECK(f.broken.front().request == "a3");
    CHECK(f.broken.front().at == start + 5s);
    CHECK(f.broken.front().seen ==
          "sent 1001 ms after the instance had passed on that t0 (life 1) "
          "leaves, and reached it");
}

TEST_CASE("each late request to a target that leaves is reported", "[soak]")
{
    watch_fixture f;
    f.pass_on_leaving(0s);
    f.pass_on_leaving(500ms);
    // The limit counts from the first notice.
    f.arrive(leaver, 1100ms, 1200ms);
    f.arrive(leaver, 5s, 5s);
    CHECK(f.broken.size() == 2);
}

TEST_CASE("a notice holds for one life of a target and one instance", "[soak]")
{
    watch_fixture f;
    f.pass_on_leaving(0s);
    f.arrive(other_life, 5s, 5s);
    f.arrive(other_target, 5s, 5s);
    f.arrive(leaver, 5s, 5s, "n1");
    CHECK(f.broken.empty());
}

TEST_CASE("an instance that was interrupted may send to a target that leaves",
          "[soak]")
{
    watch_fixture f;
    f.w.on_interrupted(instance_name, start - 1ms);
    f.pass_on_leaving(0s);
    SECTION("since the notice")
    {
        f.w.on_interrupted(instance_name, start + 2s);
        f.arrive(leaver, 5s, 5s);
        CHECK(f.broken.empty());
    }
    SECTION("until it has passed on another notice")
    {
        f.w.on_interrupted(instance_name, start + 2s);
        f.pass_on_leaving(3s);
        f.arrive(leaver, 4s, 4s);
        CHECK(f.broken.empty());
        f.arrive(leaver, 4001ms, 5s);
        CHECK(f.broken.size() == 1);
    }
    SECTION("another instance")
    {
        f.w.on_interrupted("n1", start + 2s);
        f.arrive(leaver, 5s, 5s);
        CHECK(f.broken.size() == 1);
    }
    SECTION("a cut excuses nothing")
    {
        f.w.on_cut(leaver.target, start + 5s);
        f.arrive(leaver, 5s, 5s);
        CHECK(f.broken.size() == 1);
    }
}

TEST_CASE("a notice that may not have been passed on doesn't count", "[soak]")
{
    watch_fixture f;
    const std::string id = f.arrive(leaver, 0s, 0s);
    f.w.on_target_answer(id, {leaver, true, true, {}}, start);
    SECTION("no answer") {}
    SECTION("the answer may be another target's")
    {
        f.w.on_target_answer(id, {other_target, true, true, {}}, start);
        f.w.on_passed_on(id, start);
    }
    SECTION("the answer may be one from before")
    {
        f.w.on_target_answer(id, {leaver, true, false, {}}, start);
        f.w.on_passed_on(id, start);
    }
    f.arrive(leaver, 5s, 5s);
    CHECK(f.broken.empty());
}

// An instance that doesn't read Retry-After goes on with all it has.
TEST_CASE("more than two requests to a target that asked for none are reported",
          "[soak]")
{
    watch_fixture f;
    const std::string turned_away = f.ask_to_wait(0s, 1250ms);
    SECTION("before half a second after the answer")
    {
        f.arrive_often(9, leaver, 499ms);
        CHECK(f.broken.empty());
    }
    SECTION("at the end of the time")
    {
        f.arrive_often(9, leaver, 1250ms);
        CHECK(f.broken.empty());
    }
    SECTION("two")
    {
        f.arrive_often(2, leaver, 500ms);
        CHECK(f.broken.empty());
    }
    SECTION("three, and reported once")
    {
        f.arrive_often(1, leaver, 500ms);
        f.arrive_often(8, leaver, 1249ms);
        REQUIRE(f.broken.size() == 1);
        CHECK(f.broken.front().instance == instance_name);
        CHECK(f.broken.front().request == "a4");
        CHECK(f.broken.front().seen ==
              "request 3 to t0 (life 1), 1249 ms after it asked (request " +
                  turned_away + ") for none in 1250 ms");
    }
    SECTION("of others, to others")
    {
        f.arrive_often(9, other_life, 1s);
        f.arrive_often(9, other_target, 1s);
        for (int i = 0; i < 9; ++i)
            f.arrive(leaver, 1s, 1s, "n1");
        CHECK(f.broken.empty());
    }
}

TEST_CASE("each answer begins a wait of its own", "[soak]")
{
    watch_fixture f;
    f.ask_to_wait(0s, 2s);
    f.ask_to_wait(1s, 2s);
    // The second one to be turned away is the first to count.
    f.arrive_often(1, leaver, 1800ms);
    CHECK(f.broken.empty());
    f.arrive_often(1, leaver, 1900ms);
    CHECK(f.broken.size() == 1);
    f.arrive_often(1, leaver, 2900ms);
    CHECK(f.broken.size() == 2);
}

TEST_CASE("requests in a wait are excused", "[soak]")
{
    watch_fixture f;
    f.w.on_interrupted(instance_name, start - 1ms);
    f.w.on_cut(leaver.target, start - 1ms);
    const std::string turned_away = f.ask_to_wait(0s, 2s);
    std::size_t expected = 0;
    SECTION("after a restart or a pause of the instance")
    {
        f.w.on_interrupted(instance_name, start + 600ms);
    }
    SECTION("after a cut")
    {
        f.w.on_cut(leaver.target, start + 300ms);
    }
    SECTION("if the caller left, which may hide the answer")
    {
        f.w.on_caller_left(turned_away);
    }
    SECTION("not after those of others")
    {
        f.w.on_interrupted("n1", start + 600ms);
        f.w.on_cut(other_target.target, start + 300ms);
        f.w.on_caller_left("a9");
        expected = 1;
    }
    f.arrive_often(9, leaver, 1s);
    CHECK(f.broken.size() == expected);
}

TEST_CASE("both notices of one target are judged", "[soak]")
{
    watch_fixture f;
    f.pass_on_leaving(0s);
    f.ask_to_wait(800ms, 2s);
    f.arrive_often(3, leaver, 2s);
    // Three late requests, the third of them in the wait.
    CHECK(f.broken.size() == 4);
}

TEST_CASE("the judge tells which answers were passed on", "[soak]")
{
    std::vector<broken_promise> broken;
    const calm_record calm;
    judge j(calm, 6s, [&](const broken_promise& b) { broken.push_back(b); });
    const work first{"a1", "/any/", work_kind::repeatable, 5, 3};
    const work second{"a2", "/any/", work_kind::repeatable, 5, 3};
    j.on_sent(first, instance_name, start, 4s, false);
    j.on_run(first.id, first, request_body(first), start);
    j.notices().on_target_answer(first.id, {leaver, true, true, {}}, start);
    SECTION("a whole one")
    {
        j.on_answer(first.id, {200, true, true, first.id, answer_body(first)},
                    start);
    }
    SECTION("one of the instance itself")
    {
        j.on_answer(first.id, {502, false, true, "", ""}, start);
    }
    SECTION("none, the caller has left")
    {
        j.on_unanswered(first.id, {}, unanswered::out_of_time, start);
    }
    j.on_sent(second, instance_name, start + 2s, 4s, false);
    j.notices().on_arrival(second.id, leaver, start + 2s);
    CHECK(broken.size() == j.counts().served);
}
