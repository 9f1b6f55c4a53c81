#include "lovagegate/placement/pool_map.hpp"
#include "lovagegate/placement/rendezvous.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace lovagegate;
using placement::pool_map;

namespace {

const target_group group{"zapisnik-lm"};

ticket::declared_state engines(std::size_t n, std::size_t domains)
{
    ticket::declared_state state;
    for (std::size_t i = 0; i < n; ++i) {
        ticket::target t;
        t.group = group;
        t.domain = failure_domain("domain-" + std::to_string(i % domains));
        state.targets.emplace("engine-" + std::to_string(1000 + i), t);
    }
    return state;
}

} // namespace

TEST_CASE("removing a member moves only its own keys", "[placement]")
{
    std::vector<instance_id> members;
    for (int i = 0; i < 9; ++i)
        members.emplace_back("instance-" + std::to_string(i));
    auto fewer = members;
    fewer.erase(fewer.begin() + 4);
    for (int k = 0; k < 500; ++k) {
        const std::string key = "key-" + std::to_string(k);
        const auto before =
            *placement::first(key, std::span<const instance_id>(members));
        const auto after =
            *placement::first(key, std::span<const instance_id>(fewer));
        if (before != members[4])
            CHECK(before == after);
    }
}

TEST_CASE("pools are even in size and in failure domains", "[placement]")
{
    const auto [n, domains, pool_size] =
        GENERATE(std::tuple(12U, 3U, 16U), std::tuple(12U, 3U, 4U),
                 std::tuple(9U, 4U, 4U), std::tuple(1000U, 11U, 16U));
    const auto state = engines(n, domains);
    const pool_map map(state, pool_size);
    const auto pools = map.pools(group);
    CHECK(pools.size() == (n + pool_size - 1) / pool_size);
    std::size_t placed = 0;
    for (const pool_id& pool : pools) {
        const auto members = map.targets(pool);
        placed += members.size();
        CHECK(members.size() <= pool_size);
        std::set<failure_domain> spread;
        for (const target_id& id : members)
            spread.insert(state.targets.at(id).domain);
        CHECK(spread.size() >= std::min<std::size_t>(2, members.size()));
    }
    CHECK(placed == n);
}

TEST_CASE("repeats of a request go to the same pool at any width",
          "[placement]")
{
    const auto state = engines(64, 3);
    const pool_map map(state, 16);
    const adapter_version adapter{"digest-rijeka", "3"};
    std::set<pool_id> met;
    for (fingerprint print = 0; print < 50; ++print) {
        const pool_id pool = map.choose(adapter, group, 2, print);
        CHECK(pool == map.choose(adapter, group, 2, print));
        met.insert(pool);
    }
    CHECK(met.size() == 2);
    CHECK(met.contains(map.choose(adapter, group, 1, 7)));
    CHECK(map.choose(adapter, target_group("none"), 1, 7).empty());
}
