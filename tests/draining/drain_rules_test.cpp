#include "lovagegate/draining/drain_rules.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::draining::drain_rules;

TEST_CASE("the way of the news, the use after it and the way of a request take "
          "no more than the drain limit",
          "[draining]")
{
    // Half of the limit after the news let requests arrive after it when the
    // news had taken its longest time.
    const duration limit = GENERATE(0ms, 1s, 2s, 3s, 10s);
    CAPTURE(limit.count());
    const drain_rules rules(limit);
    const duration use = rules.use_after_news();
    CHECK(use >= 0ms);
    CHECK((use == 0ms || 1200ms + use + 100ms <= limit));
    CHECK(use <= rules.use_after_notice());
    CHECK(rules.use_after_notice() <= limit / 2);
}

TEST_CASE("a leaving target is used as a last resort where the limit allows it",
          "[draining]")
{
    CHECK(drain_rules(2s).use_after_news() == 700ms);
    CHECK(drain_rules(3s).use_after_news() == 1500ms);
}

TEST_CASE("a removal is in doubt only if the store was away", "[draining]")
{
    // Targets that leave a sound store together were taken for expired entries.
    const drain_rules rules(2s);
    CHECK(rules.on_removed({0s, false}).preferred_for == 0ms);
    CHECK(rules.on_removed({0s, false}).usable_for == 700ms);
    // An entry that expired in an outage returns.
    CHECK(rules.on_removed({2s, false}).preferred_for == 1900ms);
    CHECK(rules.on_removed({2s, false}).usable_for == 1900ms);
    CHECK(rules.on_removed({1s, false}).preferred_for == 1s);
    CHECK(rules.on_removed({1s, false}).usable_for == 1s);
    // A target that leaves doesn't write its entry again.
    CHECK(rules.on_removed({2s, true}).preferred_for == 0ms);
    CHECK(rules.on_removed({2s, true}).usable_for == 700ms);
}
