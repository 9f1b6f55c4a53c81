#include "lovagegate/pool/load_rate.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::pool::load_rate;

TEST_CASE("an outage does not lower the load rate", "[pool]")
{
    load_rate rate(2.0);
    time_point now{100s};
    for (; now < time_point{160s}; now += 1s)
        rate.set_wanted(true, now);
    CHECK(rate.per_second() == 2.0);
}

TEST_CASE("a slow store lowers the load rate, which is forgotten in time",
          "[pool]")
{
    load_rate rate(2.0);
    time_point now{100s};
    for (; now < time_point{220s}; now += 5s) {
        rate.set_wanted(true, now);
        rate.on_permits(1, now);
    }
    CHECK(rate.per_second() < 0.3);
    rate.set_wanted(true, now + 30s);
    CHECK(rate.per_second() == 2.0);
}
