#include "tests/sim/site.hpp"
#include "tests/sim/world.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;

namespace {

/// A fleet that has settled on the first ticket.
struct settled
{
    sim::world_settings settings;
    sim::world world{settings};

    settled()
    {
        world.publish(
            1, sim::first_ticket(settings.engines, settings.plain_targets));
        world.run_for(60s);
    }

    request_outcome outcome(std::size_t instance, const sim::call_plan& plan)
    {
        const auto call = world.call(instance, plan);
        world.run_for(10s);
        return world.results().at(call).outcome;
    }
};

} // namespace

TEST_CASE("every instance serves drafts and sign-offs", "[sim]")
{
    settled s;
    for (std::size_t i = 0; i < s.world.instances(); ++i) {
        sim::call_plan draft;
        draft.request = request_id("draft-" + std::to_string(i));
        draft.print = i + 1;
        CHECK(s.outcome(i, draft) == request_outcome::completed);
        sim::call_plan signoff;
        signoff.completion = false;
        signoff.idempotent = false;
        signoff.request = request_id("signoff-" + std::to_string(i));
        signoff.print = 100 + i;
        CHECK(s.outcome(i, signoff) == request_outcome::completed);
    }
    CHECK(s.world.checker().violations().empty());
}
