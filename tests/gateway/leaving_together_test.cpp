#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <mutex>
#include <set>
#include <thread>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

TEST_CASE("targets that leave a sound store together get no requests while "
          "others serve",
          "[gateway]")
{
    // Two of four entries that went within a second were taken for expired, and
    // the second target stayed in full use for 1.9 s.
    std::mutex mutex;
    std::set<std::string> asked;
    const auto target = with_warm_up([&](const seen_request& r) {
        const std::lock_guard lock(mutex);
        asked.insert(expected_target(r));
        return signed_answer(r, 200, "fine");
    });
    site s({.kind = "idempotent"}, {target, target, target, target});
    s.unlist(0);
    std::this_thread::sleep_for(30ms);
    s.unlist(1);
    std::this_thread::sleep_for(700ms); // the way of the news
    for (int i = 0; i < 40; ++i)
        CHECK(s.ask(request_text("id" + std::to_string(i))).head.status == 200);
    const std::lock_guard lock(mutex);
    CHECK(asked == std::set<std::string>{"i-2", "i-3"});
}
