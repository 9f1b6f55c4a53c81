#include "lovagegate/gateway/placement.hpp"
#include "lovagegate/gateway/service_pace.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

/// Targets of a plain service, whose load nobody reports.
class plain_service
{
public:
    plain_service()
    {
        for (int i = 0; i < target_count; ++i) {
            target_entry e;
            e.id = "t" + std::to_string(i);
            e.service = "app";
            e.slots = 6;
            e.failure_domain = "z";
            directory.put(e, now);
            chooser.on_published_entry(e, 0, now);
            ids.push_back(e.id);
        }
    }

    [[nodiscard]] duration expected_wait(std::size_t instances)
    {
        placement_request r;
        r.service = "app";
        const auto choice =
            chooser.choose(r, directory.usable("app", now), instances, now);
        REQUIRE(choice);
        return choice->expected_wait;
    }

    void answer_all(duration run_time)
    {
        for (const auto& id : ids) {
            chooser.on_left(id, now);
            chooser.on_success(id, run_time);
        }
    }

    static constexpr int target_count = 5;
    target_directory directory{2s};
    placement chooser{"z", 1};
    std::vector<std::string> ids;
    time_point now{100s};
};

} // namespace

TEST_CASE("a plain service isn't taken for full because one instance has a "
          "request open at each target",
          "[gateway]")
{
    // The load: 195 instances, 200 requests a second of 60 ms at 30 slots.
    plain_service site;
    for (int round = 0; round < 10; ++round) {
        for (const auto& id : site.ids)
            site.chooser.on_sent(id, site.now);
        CHECK(site.expected_wait(195) < 300ms);
        site.now += 60ms;
        site.answer_all(60ms);
        site.now += 5s;
    }
}

TEST_CASE("a plain service that all instances keep busy is expected to take "
          "long",
          "[gateway]")
{
    plain_service site;
    for (const auto& id : site.ids)
        site.chooser.on_sent(id, site.now);
    site.now += 1s;
    site.answer_all(1s);
    for (const auto& id : site.ids)
        site.chooser.on_sent(id, site.now);
    site.now += 20s;
    CHECK(site.expected_wait(195) > 10s);
}

TEST_CASE("the open requests of a service are averaged over time", "[gateway]")
{
    service_pace pace;
    time_point now{10s};
    CHECK_FALSE(pace.mean_run_time());
    for (int i = 0; i < 200; ++i) {
        pace.on_sent(now);
        now += 25ms;
        pace.on_left(now);
        pace.on_answer(25ms);
        now += 75ms;
    }
    CHECK(pace.mean_open(now) > 0.2);
    CHECK(pace.mean_open(now) < 0.3);
    CHECK(pace.mean_run_time() == duration(25ms));
    CHECK(pace.mean_open(now + 20s) < 0.01);
}
