#include "lovagegate/gateway/store_reader_election.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace lovagegate::gateway {

namespace {

/// Two, since one may fail or be partitioned before the others detect it.
constexpr std::size_t reader_count = 2;
constexpr std::uint64_t reader_hash_seed = 0x726561;

struct candidate
{
    bool silent = false; ///< the store doesn't answer it; it reads only if no
                         ///< other instance is left
    std::uint64_t weight = 0;

    friend bool operator<(const candidate& a, const candidate& b)
    {
        return std::tie(a.silent, a.weight) < std::tie(b.silent, b.weight);
    }
};

/// @return rank of this instance among the live ones
std::size_t own_rank(const member_table& members, time_point now)
{
    const member_record& self = members.self();
    const candidate own{self.store_silent,
                        stable_hash(self.address, reader_hash_seed)};
    return static_cast<std::size_t>(
        std::ranges::count_if(members.all(), [&](const auto& entry) {
            const auto& [address, m] = entry;
            return members.is_alive(m, now) &&
                   candidate{m.record.store_silent,
                             stable_hash(address, reader_hash_seed)} < own;
        }));
}

} // namespace

bool is_store_reader(const member_table& members, time_point now)
{
    return !members.self().leaving && own_rank(members, now) < reader_count;
}

bool is_news_sender(const member_table& members, time_point now)
{
    return !members.self().leaving && own_rank(members, now) == 0;
}

} // namespace lovagegate::gateway
