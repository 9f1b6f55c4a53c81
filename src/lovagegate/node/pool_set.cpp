#include "lovagegate/node/pool_set.hpp"

#include <utility>

namespace lovagegate::node {

std::string permit_key(std::string_view store)
{
    return "permits/" + std::string(store);
}

pool_set::pool_set(instance_id self, const node_settings& settings,
                   counters& count, const quarantine::crash_register& crashes)
    : self_(std::move(self)), settings_(settings), counters_(count),
      crashes_(crashes)
{
}

void pool_set::refresh(const ticket::declared_state& state,
                       std::uint64_t revision, const membership::view& view,
                       time_point now, outbox& out)
{
    state_ = &state;
    const bool pools_changed = revision != revision_;
    if (pools_changed) {
        revision_ = revision;
        refresh_pools(state, now);
    }
    if (pools_changed || view.revision() != view_revision_) {
        view_revision_ = view.revision();
        refresh_roles(view, now, out);
    } else if (now >= next_role_check_) {
        // Evictions depend on the age of the instance list and on which
        // instances were heard from, which vary also between changes.
        next_role_check_ = now + tick_interval;
        const bool all_reachable = view.reachable_share() >= 1.0;
        for (auto& [pool, p] : owned_) {
            p.role.list_read = view.list_confirmed_at();
            p.role.all_reachable = all_reachable;
            p.owner->set_ownership(p.role, now, out);
        }
    }
}

void pool_set::refresh_pools(const ticket::declared_state& state,
                             time_point now)
{
    map_ = placement::pool_map(state, settings_.pool_size);
    for (auto& [pool, p] : owned_)
        set_targets(pool, *p.owner, now);
}

void pool_set::refresh_roles(const membership::view& view, time_point now,
                             outbox& out)
{
    owners_.clear();
    for (const auto& [pool, targets] : map_.all()) {
        const auto owner = view.owner_of(pool.str());
        if (!owner)
            continue;
        owners_.emplace(pool, *owner);
        if (*owner == self_)
            find_or_create(pool, now);
    }
    for (auto& [pool, p] : owned_)
        update_role(pool, p, view, now, out);
}

void pool_set::update_role(const pool_id& pool, owned_pool& p,
                           const membership::view& view, time_point now,
                           outbox& out)
{
    const auto owner = owners_.find(pool);
    const bool is_owner = owner != owners_.end() && owner->second == self_;
    if (is_owner != p.is_owner) {
        p.is_owner = is_owner;
        p.role_since = now;
        counters_.add(is_owner ? "pools_taken_over" : "pools_given_up");
        out.emplace_back(log_event{is_owner ? "pool_owned" : "pool_given_up",
                                   {{"pool", pool.str()}}});
    }
    const auto first = view.first_listed_since(pool.str());
    p.role.owner = is_owner;
    p.role.first_listed = first.has_value();
    p.role.since = first ? std::max(p.role_since, *first) : p.role_since;
    p.role.list_read = view.list_confirmed_at();
    p.role.all_reachable = view.reachable_share() >= 1.0;
    p.owner->set_ownership(p.role, now, out);
    set_permit_node(*p.owner, view);
}

void pool_set::set_permit_node(pool::pool_owner& owner,
                               const membership::view& view) const
{
    if (state_->stores.empty())
        return;
    const std::string& store = state_->stores.begin()->first;
    if (const auto node = view.owner_of(permit_key(store)))
        owner.set_permit_node(*node, store);
}

pool_set::owned_pool& pool_set::find_or_create(const pool_id& pool,
                                               time_point now)
{
    owned_pool& p = owned_[pool];
    if (!p.owner) {
        p.owner = std::make_unique<pool::pool_owner>(
            pool, self_, settings_.pool, counters_, crashes_);
        set_targets(pool, *p.owner, now);
    }
    return p;
}

void pool_set::set_targets(const pool_id& pool, pool::pool_owner& owner,
                           time_point now)
{
    std::map<target_id, ticket::target> targets;
    for (const target_id& id : map_.targets(pool))
        if (const auto it = state_->targets.find(id);
            it != state_->targets.end())
            targets.emplace(id, it->second);
    owner.set_targets(targets, now);
}

std::optional<instance_id> pool_set::owner_of(const pool_id& pool) const
{
    const auto it = owners_.find(pool);
    if (it == owners_.end())
        return std::nullopt;
    return it->second;
}

pool::pool_owner* pool_set::find(const pool_id& pool)
{
    const auto it = owned_.find(pool);
    return it == owned_.end() ? nullptr : it->second.owner.get();
}

pool::pool_owner* pool_set::find(const target_id& target)
{
    const pool_id* pool = map_.pool_of(target);
    return pool == nullptr ? nullptr : find(*pool);
}

void pool_set::on_lease_request(const protocol::sender& from,
                                const protocol::lease_request& request,
                                time_point now, outbox& out)
{
    const auto it = owned_.find(request.pool);
    if (it == owned_.end() || !it->second.is_owner) {
        counters_.add("lease_requests_misdirected");
        out.emplace_back(send_message{
            from.instance,
            protocol::lease_refusal{
                request.id, request.pool, refusal::owner_unreachable, {}}});
        return;
    }
    it->second.owner->on_lease_request(from, request, now, out);
}

void pool_set::on_release(const protocol::sender& from,
                          const protocol::lease_release& release,
                          time_point now, outbox& out)
{
    if (pool::pool_owner* owner = find(release.pool))
        owner->on_release(from, release, now, out);
}

void pool_set::on_renewal(const protocol::sender& from,
                          const protocol::lease_renewal& renewal,
                          time_point now, outbox& out)
{
    // The sender may learn before this instance that this instance owns the
    // pool. Its leases must be recorded before the role starts.
    if (!map_.targets(renewal.pool).empty())
        find_or_create(renewal.pool, now)
            .owner->on_renewal(from, renewal, now, out);
}

void pool_set::on_cancel(const protocol::sender& from,
                         const protocol::lease_cancel& cancel, time_point now,
                         outbox& out)
{
    if (pool::pool_owner* owner = find(cancel.pool))
        owner->on_cancel(from, cancel, now, out);
}

void pool_set::on_handover(const protocol::sender& from,
                           const protocol::pool_handover& handover,
                           time_point now, outbox& out)
{
    if (!map_.targets(handover.pool).empty())
        find_or_create(handover.pool, now)
            .owner->on_handover(from, handover, now, out);
}

void pool_set::on_permit_grant(const protocol::permit_grant& grant,
                               time_point now, outbox& out)
{
    if (pool::pool_owner* owner = find(grant.pool))
        owner->on_permit_grant(grant, now, out);
}

void pool_set::on_report(const engine_report& report, time_point now,
                         outbox& out)
{
    if (pool::pool_owner* owner = find(report.target))
        owner->on_report(report, now, out);
}

void pool_set::on_unreachable(const target_id& target, time_point now,
                              outbox& out)
{
    if (pool::pool_owner* owner = find(target))
        owner->on_unreachable(target, now, out);
}

void pool_set::on_order_ended(const order_ended& ended, time_point now,
                              outbox& out)
{
    if (pool::pool_owner* owner = find(ended.target))
        owner->on_order_ended(ended, now, out);
}

void pool_set::on_peer_restarted(const instance_id& peer, time_point now)
{
    for (auto& [pool, p] : owned_)
        p.owner->on_peer_gone(peer, now);
}

void pool_set::on_suspicions(std::span<const protocol::suspicion> crashes,
                             time_point now)
{
    for (auto& [pool, p] : owned_)
        if (p.owner->on_suspicions(crashes, now))
            p.next_poll = now;
}

void pool_set::on_resumed(time_point now)
{
    for (auto& [pool, p] : owned_) {
        p.owner->require_reports(now);
        p.next_poll = now;
    }
}

void pool_set::tick(const ticket::declared_state& state, time_point now,
                    outbox& out)
{
    for (auto& [pool, p] : owned_) {
        p.owner->tick(now, out);
        poll(pool, p, state, now, out);
    }
    erase_former_pools(now);
}

void pool_set::poll(const pool_id& pool, owned_pool& p,
                    const ticket::declared_state& state, time_point now,
                    outbox& out) const
{
    if (!p.is_owner || now < p.next_poll)
        return;
    p.next_poll = now + settings_.report_interval;
    for (const target_id& id : map_.targets(pool))
        if (const auto it = state.targets.find(id); it != state.targets.end())
            out.emplace_back(
                poll_engine{id, it->second.address, it->second.port});
}

void pool_set::erase_former_pools(time_point now)
{
    // Releases and order results for a former pool may still be in transit.
    std::erase_if(owned_, [&](const auto& entry) {
        const owned_pool& p = entry.second;
        return !p.is_owner && now > p.role_since + 4 * settings_.pool.lease.ttl;
    });
}

void pool_set::send_handovers(const membership::view& view, time_point now,
                              outbox& out)
{
    for (auto& [pool, p] : owned_) {
        if (!p.is_owner)
            continue;
        const protocol::pool_handover handover = p.owner->handover(now);
        for (const instance_id& next : view.ranked_usable(pool.str(), 2)) {
            if (next == self_)
                continue;
            out.emplace_back(send_message{next, handover});
            break;
        }
    }
}

std::vector<pool::pool_status> pool_set::status() const
{
    std::vector<pool::pool_status> all;
    for (const auto& [pool, p] : owned_)
        if (p.is_owner)
            all.push_back(p.owner->status());
    return all;
}

} // namespace lovagegate::node
