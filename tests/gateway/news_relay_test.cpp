#include "lovagegate/gateway/news_relay.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

constexpr time_point now{100s};

/// The members that one instance knows, in several failure domains.
member_table known_members(std::size_t count, std::size_t domains)
{
    member_table table("10.9.0.1", 1, {}, 1);
    for (std::size_t i = 0; i < count; ++i) {
        member_record r;
        r.address =
            "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200);
        r.start = 1;
        r.failure_domain = "domain-" + std::to_string(i % domains);
        table.on_heartbeat({r, {}}, r.address, now);
    }
    return table;
}

std::string domain_of(const member_table& members, const std::string& address)
{
    return members.all().find(address)->second.record.failure_domain;
}

} // namespace

TEST_CASE("a message for the fleet reaches each member once, and no instance "
          "sends it to many",
          "[gateway]")
{
    // With a link of 10 Mbit/s a reader of the store that tells 80 others of
    // 143 engines' entries itself has no room left for anything else.
    const std::size_t count = GENERATE(7U, 80U, 194U, 379U);
    constexpr std::size_t domains = 5;
    const auto members = known_members(count, domains);
    std::mt19937_64 random(3);
    const auto groups = make_relay_groups(members, now, random);
    std::set<std::string> reached;
    const auto most =
        static_cast<std::size_t>(std::ceil(std::sqrt(count))) + domains;
    CHECK(groups.size() <= std::max<std::size_t>(most, 8));
    for (const auto& g : groups) {
        CHECK(reached.insert(g.relay).second);
        CHECK(g.others.size() < most);
        for (const auto& address : g.others) {
            CHECK(reached.insert(address).second);
            CHECK(domain_of(members, address) == domain_of(members, g.relay));
        }
    }
    CHECK(reached.size() == count);
}

TEST_CASE("members of a small fleet get messages without a relay", "[gateway]")
{
    const auto members = known_members(8, 3);
    std::mt19937_64 random(3);
    for (const auto& g : make_relay_groups(members, now, random))
        CHECK(g.others.empty());
}

TEST_CASE("silent members neither get nor relay messages", "[gateway]")
{
    const auto members = known_members(40, 2);
    std::mt19937_64 random(3);
    CHECK(make_relay_groups(members, now + 1min, random).empty());
}
