#include "lovagegate/logging/log.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;

TEST_CASE("plain values are not quoted", "[logging]")
{
    CHECK(logging::format("ticket_in_force",
                          {{"number", std::uint64_t{7}}, {"from", "peer-2"}}) ==
          "ticket_in_force number=7 from=peer-2");
}

TEST_CASE("a value cannot add a field or a line", "[logging]")
{
    CHECK(logging::format("e", {{"k", "a b=c\n\"d\" \\"}}) ==
          R"(e k="a b=c\x0a\"d\" \\")");
    CHECK(logging::format("e", {{"k", ""}}) == "e k=\"\"");
}
