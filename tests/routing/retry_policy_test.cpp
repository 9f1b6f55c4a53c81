#include "lovagegate/routing/retry_policy.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::routing;
using node::attempt_end;

TEST_CASE("a non-idempotent call is not retried after it was sent", "[routing]")
{
    for (const attempt_end end :
         {attempt_end::broken, attempt_end::timed_out, attempt_end::mismatched,
          attempt_end::error_answer}) {
        const attempt_verdict v = classify_attempt_end(end, false, false);
        CHECK(v.retry == retry_reason::none);
        CHECK(v.may_have_run);
    }
}

TEST_CASE("any call is retried if it provably did not run", "[routing]")
{
    for (const attempt_end end :
         {attempt_end::connect_failed, attempt_end::not_run,
          attempt_end::adapter_missing}) {
        const attempt_verdict v = classify_attempt_end(end, false, false);
        CHECK(v.retry != retry_reason::none);
        CHECK_FALSE(v.may_have_run);
    }
}

TEST_CASE("a call is not retried after its answer has started", "[routing]")
{
    CHECK(classify_attempt_end(attempt_end::broken, true, true).retry ==
          retry_reason::none);
    CHECK(classify_attempt_end(attempt_end::broken, true, false).retry ==
          retry_reason::target_crashed);
}

TEST_CASE("retries are limited to a share of first attempts", "[routing]")
{
    routing_settings s;
    s.retry_budget_ratio = 0.1;
    s.retry_budget_capacity = 2.0;
    retry_budget budget(s);
    CHECK(budget.try_acquire());
    CHECK(budget.try_acquire());
    CHECK_FALSE(budget.try_acquire());
    for (int i = 0; i < 11; ++i)
        budget.on_first_attempt();
    CHECK(budget.try_acquire());
    CHECK_FALSE(budget.try_acquire());
}

TEST_CASE("the backoff never exceeds its maximum", "[routing]")
{
    const routing_settings s;
    for (std::uint32_t attempt = 1; attempt < 40; ++attempt)
        CHECK(backoff(s, attempt, ~0ULL) <= s.max_backoff);
}
