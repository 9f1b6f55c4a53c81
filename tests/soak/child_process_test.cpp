#include "soak/child_process.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace lovagegate;
using namespace lovagegate::soak;

TEST_CASE("the size of a process is that of its program from the start",
          "[soak]")
{
    // The child had the size of the soak until it became the program, so that
    // an instance seemed to exceed its memory at a restart.
    const std::string large(std::size_t{200} * 1024 * 1024, 'x');
    constexpr std::size_t program_kb = std::size_t{50} * 1024;
    for (int n = 0; n < 20; ++n) {
        const child_process p({"/bin/sleep", "20"}, "/dev/null");
        const auto size = p.size();
        REQUIRE(size);
        CHECK(size->resident_kb < program_kb);
    }
    CHECK(large.back() == 'x');
}
