#include "lovagegate/pool/lease_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagegate::pool {

namespace {

std::uint64_t pair_key(engine_index engine, adapter_key adapter)
{
    return (std::uint64_t{engine} << 32U) | adapter;
}

} // namespace

const lease* lease_table::find(const lease_key& key) const
{
    const auto it = leases_.find(key);
    return it == leases_.end() ? nullptr : &it->second;
}

void lease_table::open(const lease_key& key, lease&& l)
{
    const auto [it, added] = leases_.try_emplace(key, std::move(l));
    if (added)
        add_to_counts(it->second);
}

std::optional<lease> lease_table::close(const lease_key& key)
{
    const auto it = leases_.find(key);
    if (it == leases_.end())
        return std::nullopt;
    lease l = std::move(it->second);
    leases_.erase(it);
    remove_from_counts(l);
    return l;
}

void lease_table::renew(const lease_key& key, time_point expires)
{
    const auto it = leases_.find(key);
    if (it != leases_.end())
        it->second.expires = std::max(it->second.expires, expires);
}

template <typename Predicate>
std::vector<ended_lease> lease_table::close_if(Predicate predicate)
{
    std::vector<ended_lease> out;
    for (const auto& [key, l] : leases_) {
        if (predicate(l))
            out.push_back({key, l});
    }
    // Sorted, so that decisions do not depend on the order of the hash table.
    std::ranges::sort(out, [](const ended_lease& a, const ended_lease& b) {
        return std::tie(a.key.holder, a.key.start, a.key.id) <
               std::tie(b.key.holder, b.key.start, b.key.id);
    });
    for (const ended_lease& e : out)
        close(e.key);
    return out;
}

std::vector<ended_lease> lease_table::expire(time_point now)
{
    return close_if([&](const lease& l) { return l.expires < now; });
}

std::vector<ended_lease> lease_table::close_engine(engine_index engine)
{
    return close_if([&](const lease& l) { return l.engine == engine; });
}

std::size_t lease_table::on_engine(engine_index engine) const
{
    return engine < on_engine_.size() ? on_engine_[engine] : 0;
}

std::size_t lease_table::on_adapter(engine_index engine,
                                    adapter_key adapter) const
{
    const auto it = on_adapter_.find(pair_key(engine, adapter));
    return it == on_adapter_.end() ? 0 : it->second;
}

engine_index lease_table::engine_of(fingerprint print) const
{
    const auto it = running_prints_.find(print);
    return it == running_prints_.end() ? no_engine : it->second.engine;
}

void lease_table::add_to_counts(const lease& l)
{
    if (l.engine >= on_engine_.size())
        on_engine_.resize(l.engine + 1U);
    ++on_engine_[l.engine];
    ++on_adapter_[pair_key(l.engine, l.adapter)];
    if (l.print != 0) {
        running_print& p = running_prints_[l.print];
        p.engine = l.engine;
        ++p.leases;
    }
}

void lease_table::remove_from_counts(const lease& l)
{
    --on_engine_[l.engine];
    const auto it = on_adapter_.find(pair_key(l.engine, l.adapter));
    if (--it->second == 0)
        on_adapter_.erase(it);
    if (l.print == 0)
        return;
    const auto print = running_prints_.find(l.print);
    if (--print->second.leases == 0)
        running_prints_.erase(print);
}

} // namespace lovagegate::pool
