#include "lovagegate/gateway/store_duty.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace lovagegate::gateway {

namespace {

/// One may fail, or be cut off, before the others notice.
constexpr std::size_t readers = 2;
constexpr std::uint64_t reader_seed = 0x726561;

struct candidate
{
    bool silent = false; ///< the store doesn't answer it: only if none is left
    std::uint64_t weight = 0;
    bool is_self = false;

    friend bool operator<(const candidate& a, const candidate& b)
    {
        return std::tie(a.silent, a.weight) < std::tie(b.silent, b.weight);
    }
};

} // namespace

bool reads_store(const member_table& members, time_point now)
{
    const member_record& self = members.self();
    if (self.leaving)
        return false;
    std::vector<candidate> all{
        {self.store_silent, stable_hash(self.address, reader_seed), true}};
    for (const auto& [address, m] : members.all())
        if (members.is_alive(m, now))
            all.push_back({m.record.store_silent,
                           stable_hash(address, reader_seed), false});
    std::ranges::sort(
        all, [](const candidate& a, const candidate& b) { return a < b; });
    all.resize(std::min(all.size(), readers));
    return std::ranges::any_of(all, &candidate::is_self);
}

} // namespace lovagegate::gateway
