#include "lovagegate/routing/retry_policy.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::routing;
using node::attempt_end;

TEST_CASE("a call that may not be repeated is never tried again once sent",
          "[routing]")
{
    for (const attempt_end end :
         {attempt_end::broken, attempt_end::timed_out, attempt_end::mismatched,
          attempt_end::error_answer}) {
        const attempt_verdict v = judge(end, false, false);
        CHECK(v.retry == retry_reason::none);
        CHECK(v.may_have_run);
    }
}

TEST_CASE("any call is tried again when provably nothing ran", "[routing]")
{
    for (const attempt_end end :
         {attempt_end::connect_failed, attempt_end::not_run,
          attempt_end::adapter_missing}) {
        const attempt_verdict v = judge(end, false, false);
        CHECK(v.retry != retry_reason::none);
        CHECK_FALSE(v.may_have_run);
    }
}

TEST_CASE("an answer that has begun is not begun again", "[routing]")
{
    CHECK(judge(attempt_end::broken, true, true).retry == retry_reason::none);
    CHECK(judge(attempt_end::broken, true, false).retry ==
          retry_reason::target_crashed);
}

TEST_CASE("retries are bounded by a share of first tries", "[routing]")
{
    routing_settings s;
    s.retry_share = 0.1;
    s.retry_burst = 2.0;
    retry_budget budget(s);
    CHECK(budget.take());
    CHECK(budget.take());
    CHECK_FALSE(budget.take());
    for (int i = 0; i < 11; ++i)
        budget.on_first_try();
    CHECK(budget.take());
    CHECK_FALSE(budget.take());
}

TEST_CASE("back-off grows to its maximum and no further", "[routing]")
{
    const routing_settings s;
    for (std::uint32_t attempt = 1; attempt < 40; ++attempt)
        CHECK(backoff(s, attempt, ~0ULL) <= s.backoff_max);
}
