#include "lovagegate/core/counters.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;

TEST_CASE("a counter that was never incremented is zero", "[core]")
{
    const counters c;
    CHECK(c.count("refusals") == 0);
}

TEST_CASE("each label value is counted separately", "[core]")
{
    counters c;
    c.add("refusals", "reason", "queue_full");
    c.add("refusals", "reason", "queue_full");
    c.add("refusals", "reason", "stopping");
    CHECK(c.count("refusals{reason=\"queue_full\"}") == 2);
    CHECK(c.count("refusals{reason=\"stopping\"}") == 1);
}
