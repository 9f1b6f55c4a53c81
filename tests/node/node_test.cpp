#include "tests/node/small_site.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::tests;

TEST_CASE("a request to any instance runs on the engine with its adapter",
          "[node]")
{
    const auto instances = GENERATE(1U, 3U);
    small_site site(instances);
    site.advance_time(20s);
    for (std::size_t i = 0; i < instances; ++i)
        REQUIRE(site.at("i" + std::to_string(i)).phase() ==
                protocol::phase::ready);
    for (std::size_t i = 0; i < instances; ++i)
        site.step(instance_id{"i" + std::to_string(i)}, completion(i + 1));
    site.advance_time(3s);
    REQUIRE(site.attempts.size() == instances);
    CHECK(site.attempts[0].adapter == adapter_version{"crew", "2"});
    // One load serves all of them.
    CHECK(site.loads == 1);
    CHECK(site.finished.empty());
}

TEST_CASE("an instance without tickets refuses requests without a run",
          "[node]")
{
    small_site site(1);
    site.step(instance_id{"i0"}, completion(1));
    REQUIRE(site.finished.size() == 1);
    CHECK(site.finished[0].reason == refusal::not_ready);
}

TEST_CASE("a stopping instance finishes open requests and refuses new ones",
          "[node]")
{
    small_site site(2);
    site.advance_time(20s);
    site.step(instance_id{"i0"}, completion(1));
    site.advance_time(2s);
    REQUIRE(site.attempts.size() == 1);
    site.step(instance_id{"i0"}, node::stop_requested{});
    site.step(instance_id{"i0"}, completion(2));
    REQUIRE(site.finished.size() == 1);
    CHECK(site.finished[0].reason == refusal::stopping);
    site.advance_time(5s);
    CHECK(site.at("i0").open_requests() == 1);
    site.step(instance_id{"i0"},
              node::attempt_ended{1, 1, node::attempt_end::completed, {}, {}});
    CHECK(site.finished.back().outcome == request_outcome::completed);
    CHECK(site.at("i0").open_requests() == 0);
}

TEST_CASE("an owner with a long queue does not count as unresponsive", "[node]")
{
    small_site site(1);
    site.advance_time(1s);
    // A new permit node waits one window before it grants any load.
    site.step(instance_id{"i0"}, completion(1));
    site.advance_time(9s);
    CHECK(site.attempts.empty());
    CHECK(site.finished.empty());
    CHECK(site.at("i0").counts().count("peers_silent") == 0);
    CHECK(site.at("i0").counts().count("retries{reason=\"owner_timeout\"}") ==
          0);
}

TEST_CASE("a grant after a long wait is used at once", "[node]")
{
    small_site site(1);
    site.advance_time(1s);
    node::caller_request patient = completion(1);
    patient.deadline = 60s;
    site.step(instance_id{"i0"}, patient);
    site.advance_time(30s);
    CHECK(site.attempts.size() == 1);
    CHECK(site.at("i0").counts().count("lease_grants_unwanted") == 0);
    CHECK(site.at("i0").counts().count("retries{reason=\"lease_expired\"}") ==
          0);
}

TEST_CASE("an owner that was paused polls its engines before it grants",
          "[node]")
{
    small_site site(1);
    site.advance_time(20s);
    site.step(instance_id{"i0"}, completion(1));
    site.advance_time(3s);
    REQUIRE(site.attempts.size() == 1);
    // During the pause the engine may be restarted and used by other owners.
    site.pause(5s);
    site.step(instance_id{"i0"}, completion(2));
    CHECK(site.attempts.size() == 1);
    site.advance_time(200ms);
    CHECK(site.attempts.size() == 2);
    CHECK(site.finished.empty());
}
