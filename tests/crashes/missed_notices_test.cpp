#include "lovagegate/crashes/missed_notices.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::crashes::missed_notices;

namespace {

constexpr time_point start{100s};

} // namespace

TEST_CASE("an instance that starts asks until another has answered and serves "
          "then",
          "[crashes]")
{
    // It would send a request to engines that is known to crash them.
    missed_notices missed(start, false);
    CHECK(missed.must_ask());
    CHECK_FALSE(missed.may_serve(start));
    CHECK(missed.on_heard(start + 10ms));
    CHECK(missed.must_ask());
    missed.on_answer();
    CHECK_FALSE(missed.must_ask());
    CHECK(missed.may_serve(start + 20ms));
}

TEST_CASE("an instance that nobody answers serves nevertheless", "[crashes]")
{
    const missed_notices missed(start, false);
    // A question that was lost is repeated 0.4 s later.
    CHECK_FALSE(missed.may_serve(start + 450ms));
    CHECK(missed.may_serve(start + 1s));
    CHECK(missed.must_ask());
}

TEST_CASE("nobody is asked when all start for the first time", "[crashes]")
{
    missed_notices missed(start, true);
    CHECK_FALSE(missed.must_ask());
    CHECK(missed.may_serve(start));
    CHECK_FALSE(missed.on_heard(start + 10ms));
}

TEST_CASE("an instance that was cut off or paused asks again and serves on",
          "[crashes]")
{
    missed_notices missed(start, false);
    missed.on_heard(start);
    missed.on_answer();
    SECTION("cut off")
    {
        CHECK_FALSE(missed.on_heard(start + 1s));
        CHECK_FALSE(missed.must_ask());
        CHECK(missed.on_heard(start + 3s));
    }
    SECTION("paused")
    {
        missed.on_pause();
    }
    CHECK(missed.must_ask());
    CHECK(missed.may_serve(start + 3s));
    missed.on_answer();
    CHECK_FALSE(missed.must_ask());
}
