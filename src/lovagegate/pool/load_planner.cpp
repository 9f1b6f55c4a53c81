#include "lovagegate/pool/load_planner.hpp"

#include "lovagegate/pool/engine_chooser.hpp"

#include <algorithm>

namespace lovagegate::pool {

namespace {

/// Number of the pool's next requests over which expected uses are counted.
constexpr double horizon_requests = 64.0;
/// Weight of an expected use relative to a waiting request.
constexpr double expected_use_weight = 0.5;
/// Cost of a fully loaded engine, in expected uses.
constexpr double full_engine_cost = 0.1;
/// Cost of a second copy in the same failure domain, in expected uses.
constexpr double same_domain_cost = 0.5;

} // namespace

double load_planner::score(const waiting_request& request, time_point now) const
{
    const queue_settings& q = pool_.settings.queue;
    const auto i = static_cast<std::size_t>(request.importance);
    const double waited = to_seconds(now - request.arrived);
    return q.weight[i] * (1.0 + waited / q.doubling_seconds[i]);
}

double load_planner::expected_uses(adapter_key adapter) const
{
    return pool_.demand.expected(adapter, horizon_requests);
}

bool load_planner::waits_for_batch_group(
    std::span<const waiting_request> waiting, time_point now) const
{
    const queue_settings& q = pool_.settings.queue;
    if (waiting.front().importance != priority::batch ||
        waiting.size() >= q.min_batch_group)
        return false;
    return std::ranges::none_of(waiting, [&](const waiting_request& r) {
        return now - r.arrived >= q.batch_hold ||
               r.deadline - now <= q.batch_hold;
    });
}

bool load_planner::covered_by_pending_loads(adapter_key adapter,
                                            std::size_t waiting) const
{
    std::size_t room = 0;
    for (const engine& e : pool_.engines) {
        if (e.usable() && e.residents.has_pending_load(adapter))
            room += std::max<std::size_t>(1, e.declared.max_running / 2);
    }
    return room > 0 && waiting <= room;
}

std::optional<load_candidate>
load_planner::candidate_for(adapter_key adapter,
                            std::span<const waiting_request> waiting,
                            time_point now) const
{
    if (covered_by_pending_loads(adapter, waiting.size()) ||
        waits_for_batch_group(waiting, now))
        return std::nullopt;
    const bool resident = pool_.engines.resident(adapter);
    if (resident && !copies_nearly_full(pool_, adapter, now))
        return std::nullopt;
    load_candidate w;
    w.adapter = adapter;
    w.importance = waiting.front().importance;
    w.waiting = static_cast<std::uint32_t>(waiting.size());
    for (const waiting_request& r : waiting) {
        w.score += score(r, now);
        w.deadline = std::min(w.deadline, r.deadline);
    }
    w.score += expected_use_weight * expected_uses(adapter);
    return w;
}

std::vector<load_candidate>
load_planner::load_candidates(const load_backoff& backoff, time_point now) const
{
    std::vector<load_candidate> out;
    for (const auto& [adapter, waiting] : pool_.queue.adapters()) {
        if (!backoff.ready(adapter, now))
            continue;
        if (const auto w = candidate_for(adapter, waiting, now))
            out.push_back(*w);
    }
    std::ranges::stable_sort(out, std::ranges::greater{},
                             &load_candidate::score);
    return out;
}

bool load_planner::can_load_on(engine_index i, adapter_key adapter) const
{
    const engine& e = pool_.engines.at(i);
    if (!e.usable() || e.superseded || e.residents.find(adapter) != nullptr ||
        e.residents.in_flight() >= max_orders_per_engine ||
        e.health.state() == health_state::ejected)
        return false;
    // A load is useless to waiting requests that exclude the engine.
    const auto waiting = pool_.queue.waiting_for(adapter);
    return waiting.empty() ||
           std::ranges::any_of(waiting, [&](const waiting_request& r) {
               return std::ranges::find(r.excluded, i) == r.excluded.end();
           });
}

double load_planner::placement_cost(engine_index i, adapter_key adapter) const
{
    const engine& e = pool_.engines.at(i);
    const double fill =
        double(pool_.leases.on_engine(i)) /
        double(std::max<std::size_t>(1, e.declared.max_running));
    double cost = (full_engine_cost - pool_.settings.load.packing) * fill;
    if (fill >= 1.0)
        cost += 1.0;
    for (engine_index k = 0; k < pool_.engines.size(); ++k) {
        const engine& other = pool_.engines.at(k);
        if (k != i && other.residents.holds(adapter) &&
            other.declared.domain == e.declared.domain)
            cost += same_domain_cost;
    }
    return cost;
}

std::optional<load_location> load_planner::cheapest_slot(engine_index i,
                                                         time_point now) const
{
    const engine& e = pool_.engines.at(i);
    if (e.residents.free() > 0)
        return load_location{i, no_adapter, 0.0};
    std::optional<load_location> best;
    for (const slot& s : e.residents.slots()) {
        if (pool_.check(i, s, now) != eviction_block::none ||
            !pool_.queue.waiting_for(s.adapter).empty())
            continue;
        double uses = expected_uses(s.adapter);
        // Evicting one of several copies loses only part of the adapter's uses:
        // the other copies still serve it.
        if (pool_.engines.copies(s.adapter) > 1)
            uses *= 0.5;
        if (!best || uses < best->victim_uses)
            best = load_location{i, s.adapter, uses};
    }
    return best;
}

std::optional<load_location> load_planner::find_place(adapter_key adapter,
                                                      time_point now) const
{
    std::optional<load_location> best;
    double best_cost = 0.0;
    for (engine_index i = 0; i < pool_.engines.size(); ++i) {
        if (!can_load_on(i, adapter))
            continue;
        const auto candidate = cheapest_slot(i, now);
        if (!candidate)
            continue;
        const double cost = candidate->victim_uses + placement_cost(i, adapter);
        if (!best || cost < best_cost) {
            best = candidate;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace lovagegate::pool
