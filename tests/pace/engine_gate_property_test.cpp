#include "lovagegate/pace/engine_gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace lovagegate;
using namespace lovagegate::pace;

// Datagrams are lost, doubled and reordered: whatever the order, the gate must
// keep its bounds, and forget all requests once their instances tell none.
TEST_CASE("the gate keeps its bounds under any order of messages", "[pace]")
{
    const bool holds = rc::check([] {
        constexpr std::uint32_t slots = 16;
        time_point now{10s};
        engine_gate gate(slots, engine_gate::start_kind::started, now);
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange(0, 60) * 1ms;
            const std::string from =
                "10.0.0." + std::to_string(*rc::gen::inRange(1, 4));
            const auto number =
                static_cast<std::uint64_t>(*rc::gen::inRange(1, 40));
            const bool lost = *rc::gen::inRange(0, 4) == 0;
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
            case 1: {
                const auto priority =
                    static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
                const auto before = gate.open();
                const auto d = gate.ask(from,
                                        {number, priority, 500, 600ms, false,
                                         *rc::gen::arbitrary<bool>()},
                                        now);
                RC_ASSERT(d.usable_slots <= gate.limit(priority));
                if (d.admitted && gate.open() > before)
                    RC_ASSERT(gate.open() <= gate.limit(priority));
                break;
            }
            case 2:
                gate.on_sent(from, number, now);
                break;
            case 3:
                gate.on_begun(from, number, *rc::gen::inRange(1, 900) * 1ms,
                              80ms, now);
                break;
            case 4:
                if (!lost)
                    gate.on_ended(from, number,
                                  static_cast<engine_gate::outcome>(
                                      *rc::gen::inRange(0, 3)),
                                  now);
                break;
            default:
                gate.on_told(
                    from, static_cast<std::uint32_t>(*rc::gen::inRange(0, 5)),
                    now);
                gate.tick(now);
            }
            RC_ASSERT(gate.window() >= 2U);
            RC_ASSERT(gate.window() <= slots / 4 + 4);
            RC_ASSERT(gate.pace() >= 0.125);
            RC_ASSERT(gate.pace() <= 1.0);
            RC_ASSERT(gate.unbegun() <= gate.open());
        }
        for (int i = 0; i < 4; ++i) {
            now += 300ms;
            for (int from = 1; from < 4; ++from)
                gate.on_told("10.0.0." + std::to_string(from), 0, now);
            gate.tick(now);
        }
        RC_ASSERT(gate.open() == 0U);
        RC_ASSERT(gate.ask("10.0.0.9", {1, 2, 500, 600ms}, now).admitted);
    });
    CHECK(holds);
}
