#include "lovagegate/gateway/crashing_prompt_parts.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

using parts = std::vector<fingerprint>;

constexpr fingerprint common = 1;
constexpr fingerprint bad = 2;
constexpr fingerprint rare = 3;

/// Lets engines crash, one after the other.
class crash_series
{
public:
    /// A new request with these parts waits for its answer when the next engine
    /// crashes.
    parts crash(const parts& waiting, duration until_next = 1s)
    {
        const std::string run = "e" + std::to_string(++crashes_) + "@1";
        parts blocked = break_connection(waiting, run);
        const auto more = suspects.on_run_ended(run, now + 10ms);
        blocked.insert(blocked.end(), more.begin(), more.end());
        now += until_next;
        return blocked;
    }

    /// The connection of a new request with these parts breaks.
    parts break_connection(const parts& waiting, const std::string& run)
    {
        return suspects.on_connection_broken({++requests_, requests_, waiting},
                                             run, now);
    }

    void answer(const parts& of) { suspects.on_answer(of, now, now); }

    [[nodiscard]] bool is_blocked(fingerprint part) const
    {
        return suspects.blocked_among(std::array{part}, now).has_value();
    }

    crashing_prompt_parts suspects;
    time_point now{100s};

private:
    int crashes_ = 0;
    fingerprint requests_ = 100;
};

} // namespace

TEST_CASE("a prompt part is blocked after its third crash", "[gateway]")
{
    crash_series s;
    CHECK(s.crash({common, bad}).empty());
    s.answer({common});
    CHECK(s.crash({common, bad}).empty());
    s.answer({common});
    CHECK(s.crash({common, bad}) == parts{bad});
    CHECK(s.is_blocked(bad));
    CHECK_FALSE(s.is_blocked(common));

    SECTION("and stays blocked while its requests are rejected")
    {
        s.now += 30min;
        s.suspects.expire(s.now);
        CHECK(s.is_blocked(bad));
    }
    SECTION("until long after its last crash")
    {
        s.now += 2h;
        CHECK_FALSE(s.is_blocked(bad));
    }
    SECTION("or until an engine answers a request with it")
    {
        CHECK(s.suspects.on_answer(std::array{bad}, s.now, s.now).suspected ==
              parts{bad});
        CHECK_FALSE(s.is_blocked(bad));
    }
}

TEST_CASE("an answer between crashes clears a prompt part", "[gateway]")
{
    crash_series s;
    for (int n = 0; n < 20; ++n) {
        s.crash({common});
        s.crash({common});
        s.answer({common});
    }
    CHECK_FALSE(s.is_blocked(common));
}

TEST_CASE("an answer to a prompt part is news while its crash is unproved",
          "[gateway]")
{
    crash_series s;
    s.break_connection({common}, "x@1");
    s.now += 10ms;
    CHECK(s.suspects.on_answer(std::array{common}, s.now, s.now).suspected ==
          parts{common});
    CHECK(s.suspects.on_answer(std::array{common}, s.now + 1ms, s.now + 1ms)
              .suspected.empty());
}

TEST_CASE("an answer clears a prompt part of a break before it", "[gateway]")
{
    crash_series s;
    s.crash({rare});
    s.crash({rare});
    s.break_connection({rare}, "x@1");
    s.suspects.on_answer(std::array{rare}, s.now + 1s, s.now + 1s);
    s.suspects.on_run_ended("x@1", s.now + 2s);
    s.now += 3s;
    CHECK_FALSE(s.is_blocked(rare));
}

TEST_CASE("many engines that are lost at once block no prompt part that was "
          "answered before",
          "[gateway]")
{
    crash_series s;
    s.answer({common, rare});
    for (int n = 0; n < 20; ++n)
        s.crash({common, rare}, 5ms);
    CHECK_FALSE(s.is_blocked(common));
    CHECK_FALSE(s.is_blocked(rare));
}

TEST_CASE("many engines that are lost at once block a prompt part that was "
          "never answered until a request has tried it",
          "[gateway]")
{
    crash_series s;
    for (int n = 0; n < 20; ++n)
        s.crash({rare}, 5ms);
    CHECK(s.is_blocked(rare));
    const auto due = s.suspects.trial_due(rare, s.now);
    REQUIRE(due);
    CHECK(*due > s.now);
    CHECK(*due <= s.now + 1s);
    s.now += 11s;
    CHECK(s.is_blocked(rare));
    CHECK(s.suspects.on_trial(rare, s.now).trials == 1);
    CHECK(s.suspects.trial_due(rare, s.now) > s.now + 10s);
    SECTION("which crashes a further engine")
    {
        s.crash({rare});
        CHECK_FALSE(s.suspects.trial_due(rare, s.now));
        s.now += 30min;
        CHECK(s.is_blocked(rare));
    }
    SECTION("which is answered")
    {
        s.answer({rare});
        CHECK_FALSE(s.is_blocked(rare));
        s.crash({rare});
        CHECK_FALSE(s.is_blocked(rare));
    }
    SECTION("and another one if it wasn't answered")
    {
        s.now += 15s;
        CHECK(s.suspects.trial_due(rare, s.now) <= s.now);
        s.suspects.on_trial(rare, s.now);
        CHECK(s.suspects.trial_due(rare, s.now) > s.now + 50s);
    }
}

TEST_CASE("blocked prompt parts are tried one after the other", "[gateway]")
{
    crash_series s;
    s.crash({bad, rare});
    s.crash({bad, rare});
    s.crash({bad, rare});
    REQUIRE(s.is_blocked(bad));
    REQUIRE(s.is_blocked(rare));
    s.suspects.on_trial(rare, s.now);
    CHECK(s.suspects.trial_due(bad, s.now) > s.now + 1s);
}

TEST_CASE("what a peer says of a blocked prompt part bounds its trials",
          "[gateway]")
{
    crash_series s;
    const crashing_prompt_parts::blocked_part block{
        bad, s.now - 1s, s.now - 1s, true, 1, s.now - 500ms};
    s.suspects.on_blocked_by_peer(block, s.now);
    CHECK(s.suspects.trial_due(bad, s.now) > s.now + 10s);
    auto certain = block;
    certain.in_doubt = false;
    s.suspects.on_blocked_by_peer(certain, s.now);
    CHECK_FALSE(s.suspects.trial_due(bad, s.now));
    CHECK(s.is_blocked(bad));
}

TEST_CASE("a prompt part that was answered before needs more crashes",
          "[gateway]")
{
    crash_series s;
    s.answer({bad});
    for (int n = 0; n < 4; ++n) {
        s.crash({common, bad});
        s.answer({common});
        CHECK_FALSE(s.is_blocked(bad));
    }
    s.crash({common, bad});
    CHECK(s.is_blocked(bad));
    CHECK(s.suspects.trial_due(bad, s.now));
    CHECK_FALSE(s.is_blocked(common));
}

TEST_CASE(
    "a prompt part that was answered before is blocked once the others of "
    "its crashes are answered",
    "[gateway]")
{
    crash_series s;
    s.answer({common, bad});
    s.now += 1s;
    for (int n = 0; n < 6; ++n)
        s.crash({common, bad}, 50ms);
    CHECK_FALSE(s.is_blocked(bad));
    CHECK_FALSE(s.is_blocked(common));
    CHECK(s.suspects.on_answer(std::array{common}, s.now, s.now).blocked ==
          parts{bad});
    CHECK(s.is_blocked(bad));
    CHECK_FALSE(s.is_blocked(common));
}

TEST_CASE("an old answer doesn't protect a prompt part", "[gateway]")
{
    crash_series s;
    s.answer({bad});
    s.now += 3min;
    s.crash({common, bad});
    s.answer({common});
    s.crash({common, bad});
    s.answer({common});
    s.crash({common, bad});
    CHECK(s.is_blocked(bad));
}

TEST_CASE(
    "a crash that a blocked prompt part explains is held against no other",
    "[gateway]")
{
    crash_series s;
    s.crash({bad, rare});
    s.crash({bad, rare});
    s.crash({bad});
    REQUIRE(s.is_blocked(bad));
    for (int n = 0; n < 5; ++n)
        s.crash({bad, rare});
    CHECK_FALSE(s.is_blocked(rare));

    SECTION("also if the connections are reported after the end of the run")
    {
        for (const char* run : {"x@1", "y@1", "z@1"}) {
            s.suspects.on_run_ended(run, s.now);
            s.break_connection({rare}, run);
            s.break_connection({bad}, run);
            s.now += 1s;
        }
        CHECK_FALSE(s.is_blocked(rare));
    }
}

TEST_CASE(
    "of several suspected prompt parts the one in most crashes is blocked",
    "[gateway]")
{
    crash_series s;
    s.crash({bad, rare});
    s.crash({bad});
    // The third end of a run is seen late, so that both reach the limit.
    s.break_connection({bad, rare}, "x@1");
    s.now += 1s;
    s.break_connection({bad, rare}, "y@1");
    s.suspects.on_run_ended("y@1", s.now);
    CHECK(s.is_blocked(bad));
    s.suspects.on_run_ended("x@1", s.now);
    s.now += 1s;
    CHECK_FALSE(s.is_blocked(rare));
}

TEST_CASE("crashes under a single request block no part of its prompt",
          "[gateway]")
{
    crash_series s;
    for (const char* run : {"x@1", "y@1", "z@1", "x@2"}) {
        s.suspects.on_connection_broken({50, 50, {common, rare}}, run, s.now);
        s.suspects.on_run_ended(run, s.now);
        s.now += 1s;
    }
    CHECK_FALSE(s.is_blocked(rare));
}

TEST_CASE("a run that goes on blocks no prompt part", "[gateway]")
{
    crash_series s;
    for (int n = 0; n < 20; ++n) {
        s.break_connection({common}, "e" + std::to_string(n));
        s.now += 1s;
    }
    CHECK_FALSE(s.is_blocked(common));
    // It ends much later, for another reason.
    s.now += 1min;
    for (int n = 0; n < 20; ++n)
        s.suspects.on_run_ended("e" + std::to_string(n), s.now);
    CHECK_FALSE(s.is_blocked(common));
}

TEST_CASE("a prompt part that another instance blocks is blocked", "[gateway]")
{
    crash_series s;
    SECTION("if no engine has answered since its crash")
    {
        CHECK(s.suspects.on_blocked_by_peer({bad, s.now - 1s, s.now - 1s},
                                            s.now) == peer_block::added);
        CHECK(s.suspects.on_blocked_by_peer({bad, s.now - 2s, s.now - 2s},
                                            s.now) == peer_block::known);
        CHECK(s.is_blocked(bad));
        const auto repeated = s.suspects.blocked(10, s.now);
        REQUIRE(repeated.size() == 1);
        CHECK(repeated.front().part == bad);
        CHECK(repeated.front().last_crash == s.now - 1s);
    }
    SECTION("but not if one has")
    {
        s.crash({rare});
        s.answer({rare});
        CHECK(s.suspects.on_blocked_by_peer({rare, s.now - 1s, s.now - 1s},
                                            s.now) == peer_block::refuted);
        CHECK_FALSE(s.is_blocked(rare));
        CHECK(s.suspects.on_blocked_by_peer({rare, s.now + 1s, s.now + 1s},
                                            s.now + 2s) == peer_block::added);
        CHECK(s.is_blocked(rare));
    }
}

TEST_CASE("the end of a run is awaited from its first broken connection",
          "[gateway]")
{
    crash_series s;
    CHECK_FALSE(s.suspects.is_end_awaited("x@1"));
    s.break_connection({bad}, "x@1");
    CHECK(s.suspects.is_end_awaited("x@1"));
    s.suspects.on_run_ended("x@1", s.now);
    CHECK_FALSE(s.suspects.is_end_awaited("x@1"));
}

TEST_CASE("an answer before the crashes of a blocked prompt part doesn't clear "
          "it",
          "[gateway]")
{
    crash_series s;
    const time_point before = s.now - 1s;
    for (int n = 0; n < 5; ++n)
        s.crash({bad});
    REQUIRE(s.is_blocked(bad));
    s.suspects.on_answer(std::array{bad}, before, s.now);
    CHECK(s.is_blocked(bad));
    SECTION("and one between them leaves those after it")
    {
        s.suspects.on_answer(std::array{bad}, before + 1500ms, s.now);
        CHECK_FALSE(s.is_blocked(bad)); // four crashes, five are needed
        s.crash({bad});
        CHECK(s.is_blocked(bad));
        const auto block = s.suspects.blocked(1, s.now).at(0);
        CHECK(block.first_crash > before + 1500ms);
    }
}
