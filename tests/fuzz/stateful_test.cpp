#include "tests/fuzz/run_case.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

using namespace lovagegate;
using namespace lovagegate::fuzz;

namespace rc {

template <>
struct Arbitrary<command>
{
    /// Calls are as frequent as all failures together.
    static Gen<command> arbitrary()
    {
        const auto any = gen::cast<deed>(gen::inRange<int>(0, deed_count));
        const auto calls = gen::cast<deed>(
            gen::inRange<int>(0, static_cast<int>(deed::stale_signoff)));
        return gen::build<command>(
            gen::set(&command::what, gen::oneOf(any, calls)),
            gen::set(&command::a), gen::set(&command::b));
    }
};

} // namespace rc

namespace {

/// Few enough for CI; tools/fuzz.sh runs seed after seed.
constexpr int default_cases = 100;

int wanted_cases()
{
    const char* text = std::getenv("LOVAGEGATE_FUZZ_CASES");
    return text == nullptr ? default_cases : std::stoi(text);
}

/// Runs a property a given number of times, with the seed of RC_PARAMS.
template <typename Property>
bool holds(const std::string& name, Property property)
{
    rc::detail::TestMetadata about;
    about.id = name;
    about.description = name;
    auto params = rc::detail::configuration().testParams;
    params.maxSuccess = wanted_cases();
    const auto result = rc::detail::checkTestable(property, about, params);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("a small fleet keeps its promises under any failures", "[fuzz]")
{
    CHECK(holds("small fleet", [](const std::vector<command>& commands,
                                  std::uint16_t seed) {
        const std::string wrong = run_case(commands, small_fleet(seed));
        if (!wrong.empty()) {
            RC_FAIL(wrong);
        }
    }));
}

/// Runs one printed case again and writes its history; see tools/fuzz.sh.
TEST_CASE("a case that failed before", "[.replay]")
{
    const char* text = std::getenv("LOVAGEGATE_FUZZ_CASE");
    REQUIRE(text != nullptr);
    const char* seed = std::getenv("LOVAGEGATE_FUZZ_SEED");
    const char* file = std::getenv("LOVAGEGATE_FUZZ_HISTORY");
    auto settings = small_fleet(seed == nullptr ? 0 : std::stoull(seed));
    std::ofstream history(file == nullptr ? "/dev/null" : file);
    settings.recorder = &history;
    const std::string wrong = run_case(parse_commands(text), settings);
    INFO(wrong);
    CHECK(wrong.empty());
}
