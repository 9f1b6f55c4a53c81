#include "lovagegate/membership/list_history.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>

namespace lovagegate::membership {

std::uint64_t rendezvous_weight(std::uint64_t key_hash,
                                std::uint64_t member_hash)
{
    return combine_hash(key_hash, member_hash);
}

bool list_history::add(std::span<const node::listed_instance> instances,
                       time_point now, bool after_gap)
{
    list next{now, after_gap, {}};
    for (const node::listed_instance& i : instances)
        next.members.push_back({i.id, stable_hash(i.id.str()), i.leaving});
    std::sort(next.members.begin(), next.members.end(),
              [](const member& a, const member& b) { return a.id < b.id; });
    const bool same = !lists_.empty() && lists_.back().members == next.members;
    if (same && !after_gap)
        return false;
    lists_.push_back(std::move(next));
    if (lists_.size() > max_lists)
        lists_.pop_front();
    return !same;
}

void list_history::forget_before(time_point t)
{
    while (lists_.size() > 1 && lists_[1].from < t)
        lists_.pop_front();
}

const list_history::member* list_history::winner_in(const list& l,
                                                    std::uint64_t key,
                                                    const instance_id* without)
{
    const member* best = nullptr;
    std::uint64_t best_weight = 0;
    // Leaving instances are considered only if all listed ones are leaving.
    for (const bool leaving : {false, true}) {
        for (const member& m : l.members) {
            if (m.leaving != leaving ||
                (without != nullptr && m.id == *without))
                continue;
            const std::uint64_t w = rendezvous_weight(key, m.hash);
            if (best == nullptr || w > best_weight) {
                best = &m;
                best_weight = w;
            }
        }
        if (best != nullptr)
            break;
    }
    return best;
}

const list_history::member* list_history::find_member(const list& l,
                                                      const instance_id& id)
{
    const auto it = std::lower_bound(
        l.members.begin(), l.members.end(), id,
        [](const member& m, const instance_id& i) { return m.id < i; });
    return it != l.members.end() && it->id == id ? &*it : nullptr;
}

std::optional<instance_id> list_history::first(std::string_view key) const
{
    if (lists_.empty())
        return std::nullopt;
    const member* m = winner_in(lists_.back(), stable_hash(key));
    return m != nullptr ? std::optional(m->id) : std::nullopt;
}

std::optional<tenure> list_history::tenure_of(std::string_view key,
                                              const instance_id& instance) const
{
    const std::uint64_t hash = stable_hash(key);
    std::optional<tenure> result;
    for (auto it = lists_.rbegin(); it != lists_.rend(); ++it) {
        const member* m = winner_in(*it, hash);
        if (m == nullptr || m->id != instance) {
            if (result && m != nullptr)
                result->previous = m->id;
            return result;
        }
        result = tenure{it->from, std::nullopt};
        if (it->after_gap)
            return result;
    }
    return result;
}

std::optional<instance_id>
list_history::first_without(std::string_view key,
                            const instance_id& without) const
{
    if (lists_.empty())
        return std::nullopt;
    const member* m = winner_in(lists_.back(), stable_hash(key), &without);
    return m != nullptr ? std::optional(m->id) : std::nullopt;
}

std::optional<tenure>
list_history::tenure_before_successor(std::string_view key,
                                      const instance_id& instance,
                                      const instance_id& successor) const
{
    const std::uint64_t hash = stable_hash(key);
    std::optional<tenure> result;
    for (auto it = lists_.rbegin(); it != lists_.rend(); ++it) {
        const member* m = winner_in(*it, hash);
        const bool newest_part = !result;
        if (m != nullptr && m->id == instance)
            result = tenure{it->from, std::nullopt};
        else if (!newest_part || m == nullptr || m->id != successor)
            break;
        if (it->after_gap)
            break;
    }
    return result;
}

std::optional<time_point>
list_history::listed_since(const instance_id& instance) const
{
    std::optional<time_point> result;
    for (auto it = lists_.rbegin(); it != lists_.rend(); ++it) {
        if (find_member(*it, instance) == nullptr)
            break;
        result = it->from;
    }
    return result;
}

} // namespace lovagegate::membership
