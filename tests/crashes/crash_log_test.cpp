#include "lovagegate/crashes/crash_log.hpp"

#include <catch2/catch.hpp>

#include <utility>

using namespace lovagegate;
using namespace lovagegate::crashes;

namespace {

constexpr time_point now{100s};
const crash_traits first{1, 1, {}};
const crash_traits second{2, 2, {7}};

void crash(crash_log& log, const std::string& run, const crash_traits& request,
           time_point at = now)
{
    log.on_connection_broken(request, run, at);
    log.on_run_ended(run, at);
}

} // namespace

TEST_CASE("instances that know the same of a crash have the same digest, in "
          "whatever order they learnt it",
          "[crashes]")
{
    crash_log a;
    a.on_connection_broken(first, "e@1", now);
    a.on_connection_broken(second, "e@1", now);
    a.on_run_ended("e@1", now);
    crash_log b;
    b.on_run_ended("e@1", now + 1s);
    b.on_connection_broken(second, "e@1", now + 2s);
    b.on_connection_broken(first, "e@1", now + 3s);
    b.on_connection_broken(second, "e@1", now + 3s);
    CHECK(a.digest(now) == b.digest(now + 3s));
    CHECK(a.missing_in(b.digest(now + 3s), now).empty());
    CHECK_FALSE(a.lacks_any(b.digest(now + 3s), now));
}

TEST_CASE("a crash of which another instance knows a part is missing there",
          "[crashes]")
{
    crash_log whole;
    crash(whole, "e@1", first);
    crash_log part = whole;
    whole.on_connection_broken(second, "e@1", now);
    const auto missing = whole.missing_in(part.digest(now), now);
    REQUIRE(missing.size() == 1);
    CHECK(missing.front()->requests.size() == 2);
    CHECK(part.lacks_any(whole.digest(now), now));
}

TEST_CASE("connections that break while the engine runs on are not exchanged",
          "[crashes]")
{
    // Overloaded engines reset connections by the hundred.
    crash_log log;
    log.on_connection_broken(first, "e@1", now);
    log.on_run_ended("other@1", now);
    CHECK(log.digest(now).empty());
    SECTION("also if the run ends much later")
    {
        log.on_run_ended("e@1", now + 60s);
        CHECK(log.digest(now + 60s).empty());
    }
}

TEST_CASE("crashes are forgotten when callers no longer repeat the requests",
          "[crashes]")
{
    crash_log log;
    crash(log, "e@1", first);
    CHECK(log.digest(now + 119s).size() == 1);
    CHECK(log.digest(now + 121s).empty());
    log.expire(now + 121s);
    crash(log, "e@1", second, now + 121s);
    CHECK(log.digest(now + 121s).size() == 1);
}

TEST_CASE("a digest names the latest crashes and fits into one datagram",
          "[crashes]")
{
    crash_log log;
    constexpr int crashes = 3000;
    for (int n = 0; n < crashes; ++n)
        crash(log, "e" + std::to_string(n) + "@1", first, now + n * 1ms);
    const time_point end = now + crashes * 1ms;
    CHECK(log.digest(end).size() <= 150);
    const auto missing = log.missing_in({}, end);
    REQUIRE_FALSE(missing.empty());
    for (std::size_t n = 1; n < missing.size(); ++n)
        CHECK(missing[n - 1]->ended_at >= missing[n]->ended_at);
}

TEST_CASE("instances with different requests of one crash have the same digest "
          "once they have told each other all that they keep",
          "[crashes]")
{
    // Evidence that a receiver drops would be sent to it again and again.
    crash_log a;
    crash_log b;
    SECTION("because there are more requests than are kept")
    {
        for (fingerprint n = 0; n < 600; ++n) {
            a.on_connection_broken({n, n, {}}, "e@1", now);
            b.on_connection_broken({9000 + n, n, {}}, "e@1", now);
        }
        a.on_run_ended("e@1", now);
        b.on_run_ended("e@1", now);
    }
    SECTION("because one of them learnt late that the run had ended")
    {
        crash(a, "e@1", first);
        a.on_run_ended("e@1", now);
        b.on_run_ended("e@1", now + 10s);
        b.on_connection_broken(second, "e@1", now + 20s);
    }
    const time_point later = now + 21s;
    for (auto [from, to] : {std::pair(&a, &b), std::pair(&b, &a)})
        for (const crash_record* r : from->missing_in(to->digest(later), later))
            for (const auto& request : r->requests)
                to->on_connection_broken(request, r->run, r->broken_at);
    CHECK(a.digest(later) == b.digest(later));
}

TEST_CASE("the requests of one crash are bounded", "[crashes]")
{
    crash_log log;
    for (fingerprint n = 0; n < 5000; ++n)
        log.on_connection_broken({n, n, {}}, "e@1", now);
    log.on_run_ended("e@1", now);
    CHECK(log.missing_in({}, now).front()->requests.size() <= 512);
}
