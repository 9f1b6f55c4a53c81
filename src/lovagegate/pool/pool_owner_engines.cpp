// The part of pool_owner that handles engines, ownership and timers.
#include "lovagegate/pool/fencing.hpp"
#include "lovagegate/pool/pool_owner.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::pool {

namespace {

/// Interval between polls of the engines while evictions need a recent report.
constexpr duration poll_interval = 150ms;
/// Minimum time to the deadline within which a request can still be granted and
/// started.
constexpr duration min_time_left = 50ms;

double median_first_token(const engine_set& engines)
{
    std::vector<double> times;
    for (const engine& e : engines) {
        if (e.usable() && e.health.measured())
            times.push_back(e.health.first_token_ms());
    }
    if (times.size() < 3)
        return 0.0;
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

} // namespace

void pool_owner::set_targets(const std::map<target_id, ticket::target>& targets,
                             time_point)
{
    pool_.engines.set_targets(targets);
    pool_.demand.set_slots(pool_.engines.slots());
    for (engine& e : pool_.engines) {
        if (pool_.role.owner && e.predecessor_leases_end == never)
            take_over(e, pool_.role.since, false, pool_.settings.lease);
    }
}

void pool_owner::set_permit_node(const instance_id& node,
                                 const std::string& store)
{
    loads_.set_permit_node(node, store);
}

void pool_owner::set_ownership(const ownership& role, time_point now,
                               node::outbox& out)
{
    const bool had = pool_.role.owner;
    const bool taken = role.owner && (!had || role.since != pool_.role.since);
    const bool complete = complete_handover_received_ && role.all_reachable;
    pool_.role = role;
    if (had && !role.owner) {
        const auto all = pool_.queue.take_all();
        refuse_all(all, refusal::owner_unreachable, {}, out);
        loads_.on_ownership_lost(out);
        complete_handover_received_ = false;
    }
    if (!taken)
        return;
    pool_.counts.add("pools_taken_over");
    for (engine& e : pool_.engines) {
        take_over(e, role.since, complete, pool_.settings.lease);
        if (e.start != 0 &&
            now - e.last_report > pool_.settings.lease.report_lag)
            e.require_report(now);
    }
    grant_all_waiting(now, out);
}

void pool_owner::on_handover(const protocol::sender&,
                             const protocol::pool_handover& handover,
                             time_point now, node::outbox& out)
{
    for (const auto& held : handover.leases)
        register_lease({held.holder, held.start, held.lease.id}, held.lease,
                       now);
    for (const auto& token : handover.tokens) {
        const engine_index i = pool_.engines.find(token.target);
        if (i != no_engine)
            pool_.engines.at(i).highest_seen_token =
                std::max(pool_.engines.at(i).highest_seen_token, token.token);
    }
    complete_handover_received_ =
        complete_handover_received_ || handover.complete;
    if (!pool_.role.owner || !complete_handover_received_ ||
        !pool_.role.all_reachable)
        return;
    for (engine& e : pool_.engines)
        e.predecessor_leases_end = std::min(e.predecessor_leases_end, now);
    grant_all_waiting(now, out);
}

protocol::pool_handover pool_owner::handover(time_point now) const
{
    protocol::pool_handover out;
    out.pool = pool_.id;
    out.complete = pool_.role.owner && pool_.role.first_listed;
    pool_.leases.for_each([&](const lease_key& key, const lease& l) {
        protocol::open_lease open;
        open.id = key.id;
        open.target = pool_.engines.at(l.engine).id;
        open.adapter = pool_.adapters.adapter(l.adapter);
        open.print = l.print;
        out.leases.push_back({key.holder, std::move(open), key.start});
    });
    std::ranges::sort(out.leases, [](const auto& a, const auto& b) {
        return std::pair(a.holder, a.lease.id) <
               std::pair(b.holder, b.lease.id);
    });
    for (const engine& e : pool_.engines) {
        out.tokens.push_back({e.id, std::max(e.highest_seen_token, e.token)});
        out.complete = out.complete && now >= e.predecessor_leases_end;
    }
    return out;
}

void pool_owner::restart_engine(engine_index index, incarnation start,
                                time_point now)
{
    engine& e = pool_.engines.at(index);
    const bool known = e.start != 0;
    for (const slot& s : e.residents.slots())
        loads_.on_unloaded(s.adapter);
    e.start = start;
    e.residents.clear();
    if (!known)
        return;
    pool_.counts.add("engine_restarts");
    // A restart ends all requests of the earlier run.
    pool_.leases.close_engine(index);
    e.health.restarted(now);
    pool_.demand.on_residency_lost();
}

void pool_owner::on_report(const node::engine_report& report, time_point now,
                           node::outbox& out)
{
    const engine_index index = pool_.engines.find(report.target);
    if (index == no_engine || report.start < pool_.engines.at(index).start)
        return;
    engine& e = pool_.engines.at(index);
    const time_point asked = report.asked == time_point{} ? now : report.asked;
    if (e.report_required && asked < e.report_required_since) {
        pool_.counts.add("engine_reports_outdated");
        return;
    }
    e.last_report = now;
    e.unreachable = false;
    e.report_required = false;
    if (report.start != e.start)
        restart_engine(index, report.start, now);
    if (on_reported_token(e, report.highest_token, pool_.role,
                          pool_.settings.lease, now))
        pool_.counts.add("other_owners_noticed");
    std::vector<reported_adapter> resident;
    for (const node::adapter_load& a : report.resident)
        resident.push_back(
            {pool_.adapters.key(a.adapter), a.running + a.waiting > 0});
    e.residents.reconcile(resident, now, pool_.settings.lease.report_lag);
    fencer_.tick(now, out);
    grant_waiting_on_engine(index, now, out);
}

void pool_owner::on_unreachable(const target_id& target, time_point,
                                node::outbox&)
{
    const engine_index index = pool_.engines.find(target);
    if (index == no_engine)
        return;
    engine& e = pool_.engines.at(index);
    if (!e.unreachable)
        pool_.counts.add("engines_unreachable");
    e.unreachable = true;
}

void pool_owner::on_order_ended(const node::order_ended& ended, time_point now,
                                node::outbox& out)
{
    if (fencer_.on_order_ended(ended, now)) {
        const engine_index index = pool_.engines.find(ended.target);
        if (index != no_engine)
            grant_waiting_on_engine(index, now, out);
        return;
    }
    const order_result result = loads_.on_order_ended(ended, now, out);
    fencer_.tick(now, out);
    if (result.loaded != no_adapter) {
        grant_waiting_on_adapter(result.loaded, now, out);
        grant_waiting_on_engine(result.engine, now, out);
    }
    if (result.failed != no_adapter) {
        const auto waiting = pool_.queue.take_adapter(result.failed);
        refuse_all(waiting, refusal::load_failed, result.retry_after, out);
    }
    loads_.request_permits(now, out);
}

void pool_owner::on_permit_grant(const protocol::permit_grant& grant,
                                 time_point now, node::outbox& out)
{
    loads_.on_permit_grant(grant, now, out);
}

void pool_owner::eject_if_unhealthy(engine_index index, time_point now)
{
    engine& e = pool_.engines.at(index);
    const health_settings& h = pool_.settings.health;
    const double median = median_first_token(pool_.engines);
    const bool slow = median > 0.0 && e.health.measured() &&
                      e.health.first_token_ms() > h.slow_factor * median;
    if (e.health.state() == health_state::ejected ||
        (!slow && !e.health.failing(h)))
        return;
    const auto ejected =
        std::ranges::count_if(pool_.engines, [](const engine& other) {
            return other.health.state() != health_state::good;
        });
    const bool was_good = e.health.state() == health_state::good;
    const double after = double(ejected) + (was_good ? 1.0 : 0.0);
    if (after > h.max_ejected_share * double(pool_.engines.size()))
        return;
    e.health.eject(now, h);
    pool_.counts.add("engines_ejected");
}

void pool_owner::refuse_expired(time_point now, node::outbox& out)
{
    const auto late = pool_.queue.take_expired(now + min_time_left);
    refuse_all(late, refusal::deadline_unreachable, 1s, out);
}

void pool_owner::poll_for_eviction(time_point now, node::outbox& out)
{
    if (pool_.role.all_reachable || !pool_.role.owner ||
        pool_.queue.size() == 0)
        return;
    if (last_poll_ != never && now - last_poll_ < poll_interval)
        return;
    last_poll_ = now;
    for (const engine& e : pool_.engines) {
        if (e.usable())
            out.push_back(
                node::poll_engine{e.id, e.declared.address, e.declared.port});
    }
}

void pool_owner::tick(time_point now, node::outbox& out)
{
    for (const ended_lease& ended : pool_.leases.expire(now)) {
        pool_.counts.add("leases_expired");
        note_lease_end(ended.what, false, now);
    }
    for (engine& e : pool_.engines)
        e.health.tick(now);
    refuse_expired(now, out);
    if (pool_.queue.size() > 0)
        grant_all_waiting(now, out);
    poll_for_eviction(now, out);
    fencer_.tick(now, out);
    loads_.tick(now, out);
}

pool_status pool_owner::status() const
{
    pool_status out;
    out.pool = pool_.id;
    out.owner = pool_.role.owner;
    out.leases = pool_.leases.size();
    out.waiting = pool_.queue.size();
    out.loads_in_transit = loads_.in_transit();
    for (engine_index i = 0; i < pool_.engines.size(); ++i) {
        const engine& e = pool_.engines.at(i);
        engine_status s{e.id,
                        e.usable(),
                        e.health.state(),
                        std::max(e.token, e.highest_seen_token),
                        pool_.leases.on_engine(i),
                        {}};
        for (const slot& held : e.residents.slots())
            s.adapters.push_back({pool_.adapters.adapter(held.adapter),
                                  held.state,
                                  pool_.leases.on_adapter(i, held.adapter)});
        out.engines.push_back(std::move(s));
    }
    return out;
}

} // namespace lovagegate::pool
