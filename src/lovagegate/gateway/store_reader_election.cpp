#include "lovagegate/gateway/store_reader_election.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace lovagegate::gateway {

namespace {

/// Two, since one may fail or be partitioned before the others detect it.
constexpr std::size_t reader_count = 2;
/// Twice the number of readers, since instances may differ in whom they know.
constexpr std::size_t next_reader_count = 2 * reader_count;
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

candidate candidate_of(const member_record& r)
{
    return {r.store_silent, stable_hash(r.address, reader_hash_seed)};
}

/// @return rank of this instance among the live ones
std::size_t own_rank(const member_table& members, time_point now)
{
    const candidate own = candidate_of(members.self());
    return static_cast<std::size_t>(
        std::ranges::count_if(members.all(), [&](const auto& entry) {
            const auto& m = entry.second;
            return members.is_alive(m, now) && candidate_of(m.record) < own;
        }));
}

} // namespace

bool is_store_reader(const member_table& members, time_point now)
{
    return !members.self().leaving && own_rank(members, now) < reader_count;
}

std::size_t instances_before(const member_table& members, time_point now)
{
    const std::size_t rank = own_rank(members, now);
    return rank < reader_count ? rank : rank - reader_count;
}

bool comes_before(const member_table& members, std::string_view address)
{
    const auto it = members.all().find(address);
    return it != members.all().end() &&
           candidate_of(it->second.record) < candidate_of(members.self());
}

std::vector<std::string> next_store_readers(const member_table& members,
                                            time_point now)
{
    std::vector<member_record> others;
    for (const auto& [address, m] : members.all())
        if (members.is_alive(m, now))
            others.push_back(m.record);
    std::ranges::sort(others,
                      [](const member_record& a, const member_record& b) {
                          return candidate_of(a) < candidate_of(b);
                      });
    others.resize(std::min(others.size(), next_reader_count));
    std::vector<std::string> out;
    out.reserve(others.size());
    for (const auto& r : others)
        out.push_back(r.address);
    return out;
}

bool is_news_sender(const member_table& members, time_point now)
{
    return !members.self().leaving && own_rank(members, now) == 0;
}

} // namespace lovagegate::gateway
