#include "fleet/cluster.hpp"
#include "lovagegate/quarantine/crash_register.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::quarantine;

namespace {

protocol::suspicion crash(fingerprint print, int target, incarnation run)
{
    return {print, target_id("e" + std::to_string(target)), run};
}

} // namespace

TEST_CASE("one crash marks a fingerprint as suspected, two quarantine it",
          "[quarantine]")
{
    counters c;
    crash_register r({}, c);
    const time_point now(1s);
    CHECK(r.on_crash(crash(7, 1, 1), now));
    CHECK(r.is_suspected(7));
    CHECK_FALSE(
        r.on_crash(crash(7, 1, 1), now)); // the same crash, reported twice
    CHECK_FALSE(r.is_quarantined(7));
    CHECK(r.on_crash(crash(7, 1, 2), now)); // the same target, after a restart
    CHECK(r.is_quarantined(7));
    CHECK_FALSE(r.is_suspected(8));
}

TEST_CASE("instances agree regardless of the order of pushes", "[quarantine]")
{
    CHECK(rc::check("order and repetition do not matter", [] {
        std::vector<protocol::suspicion> all;
        for (int i = *rc::gen::inRange(0, 20); i > 0; --i)
            all.push_back(crash(*rc::gen::inRange<fingerprint>(0, 4),
                                *rc::gen::inRange(0, 3),
                                *rc::gen::inRange<incarnation>(0, 2)));
        counters c;
        crash_register a({}, c);
        crash_register b({}, c);
        a.on_push({}, {all}, time_point(1s));
        for (auto it = all.rbegin(); it != all.rend(); ++it) {
            b.on_push({}, {{*it, *it}}, time_point(1s));
        }
        RC_ASSERT(a.quarantined() == b.quarantined());
    }));
}

TEST_CASE("a quarantine reaches all instances, also after a partition",
          "[quarantine]")
{
    fleet::cluster c(9, false);
    c.run(10s);
    for (std::size_t i = 0; i < 8; ++i)
        c.cut.insert({i, 8});
    c.at(0).crashes->on_crash(crash(7, 1, 1), c.now().mono);
    c.at(3).crashes->on_crash(crash(7, 2, 1), c.now().mono);
    c.run(200ms);
    std::size_t reached = 0;
    for (std::size_t i = 0; i < 8; ++i)
        reached += c.at(i).crashes->is_quarantined(7) ? 1 : 0;
    CHECK(reached >= 6); // within one retry interval of the caller
    c.cut.clear();
    c.run(30s);
    for (std::size_t i = 0; i < 9; ++i)
        CHECK(c.at(i).crashes->is_quarantined(7));
}

TEST_CASE("the register is bounded and does not evict quarantined fingerprints",
          "[quarantine]")
{
    counters c;
    quarantine_settings s;
    s.max_fingerprints = 10;
    crash_register r(s, c);
    r.on_crash(crash(1, 1, 1), time_point(1s));
    r.on_crash(crash(1, 2, 1), time_point(1s));
    for (fingerprint p = 2; p < 100; ++p)
        r.on_crash(crash(p, 1, 1), time_point(2s));
    CHECK(r.size() == 10);
    CHECK(r.is_quarantined(1));
}
