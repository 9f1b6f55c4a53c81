#include "lovagegate/pool/engine_chooser.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/pool/grant_guard.hpp"

#include <algorithm>
#include <tuple>

namespace lovagegate::pool {

namespace {

/// Share of an engine's leases reserved for requests other than batch.
constexpr double batch_reserved_share = 0.125;

bool excluded(const waiting_request& r, engine_index i)
{
    return std::ranges::find(r.excluded, i) != r.excluded.end();
}

bool below_lease_limit(const pool_state& pool, engine_index i,
                       const waiting_request& r, time_point now)
{
    const engine& e = pool.engines.at(i);
    return pool.leases.on_engine(i) < lease_limit(pool, e, r.importance, now);
}

/// Returns whether a batch request must wait because of packing. With packing,
/// batch work runs on engines that already run requests; an idle engine is used
/// only for a group of batch requests, or for one that waited for batch_hold or
/// has a near deadline.
bool waits_for_packing(const pool_state& pool, engine_index i,
                       const waiting_request& r, time_point now)
{
    const pool_settings& s = pool.settings;
    if (s.load.packing <= 0.0 || r.importance != priority::batch ||
        pool.leases.on_engine(i) >= s.load.min_running_to_join)
        return false;
    const duration hold = s.queue.batch_hold;
    if (now - r.arrived >= hold || r.deadline - now <= hold)
        return false;
    std::size_t group = pool.queue.contains(r.key) ? 0 : 1;
    for (const slot& held : pool.engines.at(i).residents.slots())
        group += pool.queue.waiting_for(held.adapter).size();
    return group < s.queue.min_batch_group;
}

bool can_run(const pool_state& pool, engine_index i, const waiting_request& r,
             time_point now)
{
    const engine& e = pool.engines.at(i);
    return e.usable() &&
           check_grant(e, pool.role, pool.settings.lease, now) ==
               grant_block::none &&
           e.residents.holds(r.adapter) && !excluded(r, i) &&
           below_lease_limit(pool, i, r, now) &&
           !waits_for_packing(pool, i, r, now);
}

} // namespace

std::size_t lease_limit(const pool_state& pool, const engine& e,
                        priority importance, time_point now)
{
    const std::size_t limit =
        e.health.limit(e.declared.max_running, now, pool.settings.health);
    if (importance != priority::batch || limit < 8)
        return limit;
    return limit -
           static_cast<std::size_t>(double(limit) * batch_reserved_share);
}

engine_index choose_engine(const pool_state& pool,
                           const waiting_request& request, time_point now)
{
    // Requests with the same fingerprint run on the same engine, so that a
    // crashing fingerprint breaks only one engine.
    const engine_index fingerprint_engine =
        pool.leases.engine_of(request.print);
    if (request.print != 0 && fingerprint_engine != no_engine) {
        const bool fits = !request.suspected &&
                          can_run(pool, fingerprint_engine, request, now);
        return fits ? fingerprint_engine : no_engine;
    }
    engine_index best = no_engine;
    std::tuple<bool, double, std::uint64_t> best_cost{};
    for (engine_index i = 0; i < pool.engines.size(); ++i) {
        if (!can_run(pool, i, request, now))
            continue;
        const engine& e = pool.engines.at(i);
        const double fill =
            double(pool.leases.on_engine(i)) /
            double(std::max<std::size_t>(1, e.declared.max_running));
        const bool probing = e.health.state() == health_state::probing;
        const double cost = pool.settings.load.packing > 0.0 ? -fill : fill;
        const std::tuple candidate{probing, cost,
                                   combine_hash(request.prefix, i)};
        if (best == no_engine || candidate < best_cost) {
            best = i;
            best_cost = candidate;
        }
    }
    return best;
}

bool copies_nearly_full(const pool_state& pool, adapter_key adapter,
                        time_point now)
{
    bool any = false;
    for (engine_index i = 0; i < pool.engines.size(); ++i) {
        const engine& e = pool.engines.at(i);
        if (!e.usable() || !e.residents.holds(adapter))
            continue;
        any = true;
        const double limit =
            double(lease_limit(pool, e, priority::interactive, now));
        if (double(pool.leases.on_engine(i)) <
            limit * pool.settings.load.copy_threshold)
            return false;
    }
    return any;
}

} // namespace lovagegate::pool
