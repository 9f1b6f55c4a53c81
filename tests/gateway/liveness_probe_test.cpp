#include "lovagegate/gateway/liveness_probe.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate::gateway;

TEST_CASE("only a target that answers a probe is alive", "[gateway]")
{
    CHECK(liveness_shown_by(probe_result::answered) == liveness::alive);
}

TEST_CASE("a target is gone if nothing listens or answers", "[gateway]")
{
    const auto result =
        GENERATE(probe_result::no_answer, probe_result::refused,
                 probe_result::unreachable, probe_result::not_an_answer);
    CAPTURE(to_string(result));
    CHECK(liveness_shown_by(result) == liveness::gone);
}

TEST_CASE("a probe that broke or was not sent doesn't show that its target is "
          "gone",
          "[gateway]")
{
    const auto result =
        GENERATE(probe_result::broken, probe_result::no_connection);
    CAPTURE(to_string(result));
    CHECK(liveness_shown_by(result) == liveness::unknown);
}
