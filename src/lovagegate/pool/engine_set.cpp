#include "lovagegate/pool/engine_set.hpp"

#include <algorithm>

namespace lovagegate::pool {

void engine_set::set_targets(const std::map<target_id, ticket::target>& targets)
{
    for (engine& e : engines_)
        e.removed = !targets.contains(e.id);
    for (const auto& [id, declared] : targets) {
        const auto [it, added] = indices_.try_emplace(id, size());
        if (added)
            engines_.emplace_back().id = id;
        engine& e = engines_[it->second];
        e.declared = declared;
        e.residents.set_capacity(declared.slots);
    }
}

engine_index engine_set::find(const target_id& id) const
{
    const auto it = indices_.find(id);
    return it == indices_.end() ? no_engine : it->second;
}

bool engine_set::resident(adapter_key adapter) const
{
    return std::ranges::any_of(engines_, [&](const engine& e) {
        return e.usable() && e.residents.holds(adapter);
    });
}

std::size_t engine_set::copies(adapter_key adapter) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(engines_, [&](const engine& e) {
            return e.usable() && (e.residents.holds(adapter) ||
                                  e.residents.has_pending_load(adapter));
        }));
}

bool engine_set::has_pending_load(adapter_key adapter) const
{
    return std::ranges::any_of(engines_, [&](const engine& e) {
        return e.usable() && e.residents.has_pending_load(adapter);
    });
}

bool engine_set::any_may_become_usable() const
{
    return std::ranges::any_of(engines_, [](const engine& e) {
        return !e.removed && !e.declared.leaving && !e.unreachable;
    });
}

std::size_t engine_set::slots() const
{
    std::size_t sum = 0;
    for (const engine& e : engines_)
        sum += e.removed ? 0 : e.declared.slots;
    return sum;
}

} // namespace lovagegate::pool
