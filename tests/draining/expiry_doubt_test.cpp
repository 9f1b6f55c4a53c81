#include "lovagegate/draining/expiry_doubt.hpp"

#include "lovagegate/draining/drain_rules.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lovagegate;
using lovagegate::draining::drain_rules;
using lovagegate::draining::expiry_doubt;

namespace {

constexpr time_point returned{100s};
/// Time within which targets have written their entries again.
constexpr duration entries_back = 2s;
/// After the return of the store instances are held to the drain limit again.
constexpr duration stable_window = 3s;
constexpr duration request_time = 100ms;

} // namespace

TEST_CASE("a store that answers leaves no doubt of a deletion", "[draining]")
{
    expiry_doubt doubt(stable_window);
    doubt.on_answer(returned);
    CHECK(doubt.left(returned) == 0s);
}

TEST_CASE("the doubt of a deletion counts from the return of the store and not "
          "from the news",
          "[draining]")
{
    // Targets that left a stable store got requests for longer than the drain
    // limit, since each deletion in the 4 s after an outage began a new grace.
    const duration outage = GENERATE(100ms, 4500ms, 60s);
    const duration retry = GENERATE(0ms, 150ms, 600ms);
    expiry_doubt doubt(stable_window);
    doubt.on_call_failed(returned - outage);
    doubt.on_call_failed(returned - 1ms);
    const time_point answered = returned + retry;
    doubt.on_answer(answered);
    CHECK(doubt.left(answered) == entries_back);
    CHECK(doubt.left(answered + 500ms) == entries_back - 500ms);
    doubt.on_answer(answered + 700ms);
    CHECK(doubt.left(answered + 700ms) == entries_back - 700ms);
    CHECK(doubt.left(answered + entries_back) == 0s);
    CHECK(doubt.left(returned + stable_window) == 0s);
}

TEST_CASE("an instance that was cut off ends its doubt before it is held to "
          "the drain limit again",
          "[draining]")
{
    // The deletion may have been acknowledged while only this instance was cut
    // off. The path may be back as early as the last failed call was sent.
    const duration call_time = GENERATE(1ms, 800ms, 1300ms, 2500ms, 5s);
    const duration window = GENERATE(1s, 3s, 4s, 5s);
    expiry_doubt doubt(window);
    doubt.on_call_failed(returned);
    const time_point answered = returned + call_time;
    doubt.on_answer(answered);
    const drain_rules rules(GENERATE(1s, 2s, 3s));
    const auto terms = rules.on_removed({doubt.left(answered), false});
    CHECK((terms.preferred_for == 0s ||
           answered + terms.preferred_for + request_time <= returned + window));
}

TEST_CASE("entries that a restored store lacks are in doubt while targets "
          "write them again",
          "[draining]")
{
    expiry_doubt doubt(stable_window);
    doubt.on_restored(returned);
    CHECK(doubt.left(returned) == entries_back);
    CHECK(doubt.left(returned + entries_back) == 0s);
}

TEST_CASE("the doubt of entries that a restored store lacks ends before the "
          "drain limit holds again, however late the restoration is noticed",
          "[draining]")
{
    const duration late = GENERATE(10ms, 700ms, 1500ms, 4s);
    expiry_doubt doubt(stable_window);
    doubt.on_answer(returned); // the last one of the era before
    SECTION("without a failed call") {}
    SECTION("after one")
    {
        doubt.on_call_failed(returned);
    }
    doubt.on_restored(returned + late);
    CHECK(returned + late + doubt.left(returned + late) + request_time <=
          std::max(returned + stable_window, returned + late + request_time));
    CHECK(doubt.left(returned + late) <= entries_back);
}

TEST_CASE("what another instance tells extends the doubt and never ends it",
          "[draining]")
{
    expiry_doubt doubt(stable_window);
    doubt.on_told(returned + 1s);
    CHECK(doubt.left(returned) == 1s);
    doubt.on_told(returned + 500ms);
    CHECK(doubt.left(returned) == 1s);
}

TEST_CASE("a deletion never keeps a target in use beyond the drain limit",
          "[draining]")
{
    const duration limit = GENERATE(0ms, 50ms, 1s, 2s, 3s);
    const duration left = GENERATE(0ms, 500ms, 2s, 10s);
    const bool was_leaving = GENERATE(false, true);
    const auto terms = drain_rules(limit).on_removed({left, was_leaving});
    CHECK(terms.preferred_for <= terms.usable_for);
    CHECK((terms.usable_for == 0s ||
           terms.usable_for + request_time <= std::max(limit, request_time)));
}
