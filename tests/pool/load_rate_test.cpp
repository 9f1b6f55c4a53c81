#include "lovagegate/pool/load_rate.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::pool::load_rate;

TEST_CASE("a load rate measured in an outage is forgotten", "[pool]")
{
    load_rate rate(2.0);
    time_point now{100s};
    for (; now < time_point{120s}; now += 1s)
        rate.set_wanted(true, now);
    CHECK(rate.per_second() < 0.2);
    rate.set_wanted(true, now + 30s);
    CHECK(rate.per_second() == 2.0);
}
