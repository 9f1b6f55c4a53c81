#include "lovagegate/routing/plain_balancer.hpp"

#include <algorithm>
#include <vector>

namespace lovagegate::routing {

plain_balancer::plain_balancer(const routing_settings& settings,
                               std::uint64_t seed)
    : settings_(settings), random_(seed)
{
}

std::optional<target_id>
plain_balancer::choose(const ticket::declared_state& state,
                       const target_group& group,
                       std::span<const target_id> excluded, time_point now)
{
    std::vector<const target_id*> healthy;
    std::vector<const target_id*> ejected;
    for (const auto& [id, target] : state.targets) {
        if (target.group != group || target.leaving ||
            target.kind != ticket::target_kind::plain)
            continue;
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        const target_load& l = target_loads_[id];
        if (l.open_requests >= target.max_running)
            continue;
        (l.ejected_until > now ? ejected : healthy).push_back(&id);
    }
    // If all targets are ejected, use them anyway rather than fail.
    const std::vector<const target_id*>& from =
        healthy.empty() ? ejected : healthy;
    if (from.empty())
        return std::nullopt;
    const target_id* a = from[random_() % from.size()];
    const target_id* b = from[random_() % from.size()];
    return target_loads_[*a].open_requests <= target_loads_[*b].open_requests
               ? *a
               : *b;
}

void plain_balancer::on_started(const target_id& target)
{
    ++target_loads_[target].open_requests;
}

void plain_balancer::on_ended(const target_id& target, bool healthy,
                              time_point now)
{
    target_load& l = target_loads_[target];
    if (l.open_requests > 0)
        --l.open_requests;
    if (healthy) {
        l.consecutive_errors = 0;
        return;
    }
    if (++l.consecutive_errors >= settings_.ejection_error_threshold)
        l.ejected_until = now + settings_.ejection_duration;
}

} // namespace lovagegate::routing
