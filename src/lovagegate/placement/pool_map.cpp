#include "lovagegate/placement/pool_map.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/placement/rendezvous.hpp"

#include <algorithm>

namespace lovagegate::placement {

namespace {

using engine = std::pair<target_id, failure_domain>;

std::size_t divide_rounding_up(std::size_t n, std::size_t by)
{
    return (n + by - 1) / by;
}

std::vector<pool_id> name_pools(const target_group& group,
                                const std::string& model, std::size_t count)
{
    std::vector<pool_id> out;
    for (std::size_t i = 0; i < count; ++i)
        out.emplace_back(group.str() + '/' + model + '#' + std::to_string(i));
    return out;
}

/// Counts engines per pool and per pool and failure domain, and limits both to
/// an even share.
class pool_balance
{
public:
    pool_balance(std::span<const engine> engines, std::size_t pools)
        : max_per_pool_(divide_rounding_up(engines.size(), pools))
    {
        for (const engine& e : engines)
            ++max_in_domain_[e.second];
        for (auto& [domain, count] : max_in_domain_)
            count = divide_rounding_up(count, pools);
    }

    [[nodiscard]] bool full(const pool_id& pool) const
    {
        return count(total_, pool) >= max_per_pool_;
    }

    [[nodiscard]] bool domain_full(const pool_id& pool,
                                   const failure_domain& domain) const
    {
        return count(in_domain_, std::pair(pool, domain)) >=
               max_in_domain_.at(domain);
    }

    void add(const pool_id& pool, const failure_domain& domain)
    {
        ++total_[pool];
        ++in_domain_[std::pair(pool, domain)];
    }

private:
    template <typename Map, typename Key>
    static std::size_t count(const Map& map, const Key& key)
    {
        const auto it = map.find(key);
        return it == map.end() ? 0 : it->second;
    }

    std::size_t max_per_pool_;
    std::map<failure_domain, std::size_t> max_in_domain_;
    std::map<pool_id, std::size_t> total_;
    std::map<std::pair<pool_id, failure_domain>, std::size_t> in_domain_;
};

pool_id place_engine(const engine& e, std::span<const pool_id> pools,
                     const pool_balance& counts)
{
    const auto ranked = rank(e.first.str(), pools);
    const auto spread = std::ranges::find_if(ranked, [&](const pool_id& p) {
        return !counts.full(p) && !counts.domain_full(p, e.second);
    });
    if (spread != ranked.end())
        return *spread;
    return *std::ranges::find_if(
        ranked, [&](const pool_id& p) { return !counts.full(p); });
}

} // namespace

pool_map::pool_map(const ticket::declared_state& state, std::size_t pool_size)
{
    std::map<std::pair<target_group, std::string>, std::vector<engine>> groups;
    for (const auto& [id, target] : state.targets) {
        if (target.kind == ticket::target_kind::engine)
            groups[{target.group, target.model}].emplace_back(id,
                                                              target.domain);
    }
    for (const auto& [key, engines] : groups)
        add_group(key.first, key.second, engines,
                  std::max<std::size_t>(1, pool_size));
}

void pool_map::add_group(const target_group& group, const std::string& model,
                         std::span<const engine> engines, std::size_t pool_size)
{
    const auto pools =
        name_pools(group, model, divide_rounding_up(engines.size(), pool_size));
    pool_balance counts(engines, pools.size());
    for (const engine& e : engines) {
        const pool_id pool = place_engine(e, pools, counts);
        counts.add(pool, e.second);
        targets_[pool].push_back(e.first);
        pool_of_.emplace(e.first, pool);
    }
    by_model_[group][model] = pools;
    auto& all = pools_[group];
    all.insert(all.end(), pools.begin(), pools.end());
}

std::span<const pool_id> pool_map::pools(const target_group& group) const
{
    const auto it = pools_.find(group);
    return it == pools_.end() ? std::span<const pool_id>{} : it->second;
}

const pool_id* pool_map::pool_of(const target_id& target) const
{
    const auto it = pool_of_.find(target);
    return it == pool_of_.end() ? nullptr : &it->second;
}

std::span<const target_id> pool_map::targets(const pool_id& pool) const
{
    const auto it = targets_.find(pool);
    return it == targets_.end() ? std::span<const target_id>{} : it->second;
}

pool_id pool_map::choose(const adapter_version& adapter,
                         const target_group& group, std::size_t width,
                         fingerprint print, std::string_view model) const
{
    std::span<const pool_id> candidates = pools(group);
    const auto models = by_model_.find(group);
    if (!model.empty() && models != by_model_.end()) {
        const auto it = models->second.find(std::string(model));
        candidates = it == models->second.end() ? std::span<const pool_id>{}
                                                : it->second;
    }
    if (candidates.empty())
        return {};
    const std::string key = to_string(adapter);
    if (width <= 1)
        return *first(key, candidates);
    const auto spread = top(key, candidates, width);
    return spread[combine_hash(print, 0) % spread.size()];
}

} // namespace lovagegate::placement
