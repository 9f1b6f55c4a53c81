#include "lovagegate/gateway/liveness_probe.hpp"

#include "../net/loop_fixture.hpp"
#include "../net/manual_server.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

const std::string whole_report =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const std::string begun_report =
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{";

/// Probes a target that the test serves by hand.
class probe_fixture : public net::test::loop_fixture
{
public:
    void start_probe()
    {
        result.reset();
        target_entry target;
        target.id = "t";
        target.address = {"127.0.0.1", server.port()};
        probe = std::make_unique<liveness_probe>(
            loop, pool, target, 8, [this](probe_result r) { result = r; });
    }

    void answer_with(const std::string& report)
    {
        bool answered = false;
        REQUIRE(run_until([&] {
            answered = answered || server.answers_one(report);
            return answered;
        }));
    }

    void wait_for_result()
    {
        REQUIRE(run_until([this] { return result.has_value(); }));
    }

    net::test::manual_server server;
    target_pool pool{loop};
    std::unique_ptr<liveness_probe> probe;
    std::optional<probe_result> result;
};

} // namespace

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

TEST_CASE_METHOD(probe_fixture,
                 "a target whose report has arrived is alive even if the event "
                 "loop reads it late",
                 "[gateway]")
{
    start_probe();
    answer_with(whole_report);
    wait_for_result();
    // The second probe uses the kept connection, so it is sent at once.
    start_probe();
    while (!server.answers_one(whole_report))
        std::this_thread::yield();
    std::this_thread::sleep_for(400ms); // the loop stalls beyond the time limit
    wait_for_result();
    CHECK(*result == probe_result::answered);
}

TEST_CASE_METHOD(probe_fixture,
                 "a target that has begun its report is alive if the report is "
                 "late or breaks off",
                 "[gateway]")
{
    const bool breaks_off = GENERATE(false, true);
    CAPTURE(breaks_off);
    start_probe();
    answer_with(begun_report);
    if (breaks_off)
        server.close_connection();
    wait_for_result();
    CHECK(liveness_shown_by(*result) == liveness::alive);
}
