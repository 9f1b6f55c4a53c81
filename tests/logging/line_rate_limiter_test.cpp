#include "lovagegate/logging/line_rate_limiter.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::logging::line_rate_limiter;

TEST_CASE("a burst of lines is written completely, a flood is not", "[logging]")
{
    line_rate_limiter budget(100, 50);
    time_point now{10s};
    int written = 0;
    for (int i = 0; i < 50; ++i)
        written += budget.try_acquire(now) ? 1 : 0;
    CHECK(written == 50);
    for (int i = 0; i < 10000; ++i) {
        now += 1ms;
        written += budget.try_acquire(now) ? 1 : 0;
    }
    CHECK(written >= 1040);
    CHECK(written <= 1060);
    CHECK(budget.dropped() == 10050U - static_cast<unsigned>(written));
}

TEST_CASE("dropped lines are reported at most once a second", "[logging]")
{
    line_rate_limiter budget(1, 1);
    time_point now{10s};
    CHECK(budget.try_acquire(now));
    CHECK_FALSE(budget.try_acquire(now));
    CHECK(budget.take_dropped_count(now) == 1U);
    budget.on_dropped();
    CHECK_FALSE(budget.take_dropped_count(now + 500ms));
    CHECK(budget.take_dropped_count(now + 1s) == 1U);
    CHECK_FALSE(budget.take_dropped_count(now + 5s));
}
