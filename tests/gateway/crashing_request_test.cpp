#include "lovagegate/gateway/crash_suspects.hpp"
#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace lovagegate;
using namespace lovagegate::gateway;
using namespace lovagegate::gateway_test;

namespace {

constexpr int engines = 4;

/// Engines that reset every request of the test while `resetting` is set.
class resetting_engines
{
public:
    std::vector<site::target_script> scripts()
    {
        std::vector<site::target_script> out;
        for (std::size_t i = 0; i < hits_.size(); ++i)
            out.push_back(with_warm_up([this, i](const seen_request& r) {
                if (!resetting)
                    return signed_answer(r, 200, "fine");
                ++hits_.at(i);
                return script{{"", {}, then::reset}};
            }));
        return out;
    }

    /// @return number of engines that have reset a request
    [[nodiscard]] auto hit() const
    {
        return std::ranges::count_if(hits_,
                                     [](const auto& n) { return n > 0; });
    }

    /// @return the engine that has reset a request since the last call
    std::size_t take_hit()
    {
        const auto it =
            std::ranges::find_if(hits_, [](const auto& n) { return n > 0; });
        REQUIRE(it != hits_.end());
        *it = 0;
        return static_cast<std::size_t>(it - hits_.begin());
    }

    std::atomic<bool> resetting{true};

private:
    std::array<std::atomic<int>, engines> hits_{};
};

} // namespace

TEST_CASE("a look-up whose sends are reset by engines that run on is not "
          "blocked",
          "[gateway]")
{
    resetting_engines e;
    site s({.kind = "idempotent", .attempts = 4}, e.scripts());
    constexpr int most_asks = 20;
    for (int n = 0; n < most_asks && e.hit() < 3; ++n)
        s.ask(request_text("id" + std::to_string(n)));
    REQUIRE(e.hit() >= 3);
    e.resetting = false;
    const auto a = s.ask(request_text("later"));
    CHECK(a.head.status == 200);
}

TEST_CASE("a request that crashes its engines is blocked after the third crash",
          "[gateway]")
{
    const bool returns = GENERATE(true, false);
    CAPTURE(returns);
    resetting_engines e;
    site s({.kind = "idempotent", .attempts = 1}, e.scripts());
    constexpr int most_crashes = 3;
    for (int n = 0; n < most_crashes; ++n) {
        s.ask(request_text("id" + std::to_string(n)));
        const std::size_t crashed = e.take_hit();
        if (returns)
            s.publish_restart(crashed, n + 2);
        else
            s.unlist(crashed);
    }
    REQUIRE(s.runs == most_crashes);
    // The gateway learns of the last restart after some milliseconds.
    constexpr int most_further = 3;
    int before = 0;
    std::string reason;
    for (int n = 0; n <= most_further && s.runs != before; ++n) {
        std::this_thread::sleep_for(200ms);
        before = s.runs;
        const auto a = s.ask(request_text("again" + std::to_string(n)));
        CHECK(a.head.status == 502);
        reason = a.body;
    }
    CHECK_THAT(reason, Catch::Matchers::Contains("crashes engines"));
    CHECK(s.runs == before);
    CHECK(s.runs <= most_crashes + most_further);
}

TEST_CASE("a request is blocked when its engines no longer listen", "[gateway]")
{
    resetting_engines e;
    site s({.kind = "idempotent", .attempts = 4}, e.scripts());
    constexpr int most_asks = 20;
    for (int n = 0; n < most_asks && e.hit() < 3; ++n)
        s.ask(request_text("id" + std::to_string(n)));
    REQUIRE(e.hit() >= 3);
    for (std::size_t i = 0; i < engines; ++i)
        s.publish_unreachable(i);
    // Other requests detect that the engines no longer listen.
    std::string reason;
    const auto until = std::chrono::steady_clock::now() + max_wait;
    for (int n = 0; reason.find("crashes engines") == std::string::npos &&
                    std::chrono::steady_clock::now() < until;
         ++n) {
        s.ask(request_text("other" + std::to_string(n), "Content-Length: 0\r\n",
                           "POST"));
        std::this_thread::sleep_for(50ms);
        reason = s.ask(request_text("again" + std::to_string(n))).body;
    }
    CHECK_THAT(reason, Catch::Matchers::Contains("crashes engines"));
}

TEST_CASE("a broken connection counts as a crash when its engine's run ends",
          "[gateway]")
{
    crash_suspects suspects;
    const time_point now{100s};
    const auto request = crash_suspects::fingerprint_of("POST", "/a", "body");
    constexpr std::array runs{"e1@1", "e2@1", "e3@1"};
    for (const char* run : runs) {
        suspects.on_connection_broken(request, run, now);
        suspects.on_connection_broken(request, run,
                                      now); // reported by two instances
    }
    CHECK_FALSE(suspects.is_blocked(request, now));

    SECTION("soon after the break")
    {
        CHECK(suspects.on_run_ended("e1@1", now + 5s) == 1);
        CHECK(suspects.on_run_ended("e1@1", now + 6s) == 0);
        suspects.on_run_ended("e2@1", now + 5s);
        CHECK_FALSE(suspects.is_blocked(request, now + 5s));
        suspects.on_run_ended("e3@1", now + 5s);
        CHECK(suspects.is_blocked(request, now + 5s));
    }
    SECTION("or just before the news of the break")
    {
        const auto other =
            crash_suspects::fingerprint_of("POST", "/a", "other");
        for (const char* run : runs)
            suspects.on_run_ended(run, now);
        for (const char* run : runs)
            suspects.on_connection_broken(other, run, now + 1s);
        CHECK(suspects.is_blocked(other, now + 1s));
    }
    SECTION("but not when it ends much later")
    {
        for (const char* run : runs)
            suspects.on_run_ended(run, now + 60s);
        CHECK_FALSE(suspects.is_blocked(request, now + 60s));
    }
    SECTION("and not when it was answered meanwhile")
    {
        suspects.on_answer(request, now + 1s);
        for (const char* run : runs)
            suspects.on_run_ended(run, now + 5s);
        CHECK_FALSE(suspects.is_blocked(request, now + 5s));
    }
    SECTION("but not when a different run of the engine ends")
    {
        for (const char* run : {"e1@2", "e2@2", "e3@2"})
            suspects.on_run_ended(run, now + 5s);
        CHECK_FALSE(suspects.is_blocked(request, now + 5s));
    }
}
