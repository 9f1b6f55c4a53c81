#include "lovagegate/pool/eviction_guard.hpp"

#include <algorithm>

namespace lovagegate::pool {

namespace {

/// Returns whether a report proves the adapter idle: its content must be newer
/// than the last lease that ended without confirmation and than the end of
/// earlier owners' leases.
bool confirmed_idle(const engine& e, const slot& s,
                    const lease_settings& settings)
{
    time_point last_unconfirmed = s.last_unconfirmed_end;
    if (s.loaded_at < e.predecessor_leases_end)
        last_unconfirmed = std::max(last_unconfirmed, e.predecessor_leases_end);
    return last_unconfirmed == never ||
           s.last_idle_report >= last_unconfirmed + settings.report_lag;
}

/// Returns whether a report shows work that belongs to another owner: it
/// arrived after all work of this owner's leases must have left the reports.
bool has_unexplained_work(const slot& s, const lease_settings& settings)
{
    if (s.last_busy_report == never || s.last_idle_report > s.last_busy_report)
        return false;
    const time_point last =
        std::max({s.last_confirmed_end, s.last_unconfirmed_end, s.loaded_at});
    return last == never || s.last_busy_report >= last + settings.report_lag;
}

eviction_block check_role(const engine& e, const ownership& role,
                          const lease_settings& settings, time_point now)
{
    if (!role.owner)
        return eviction_block::not_owner;
    if (e.superseded)
        return eviction_block::superseded;
    if (!e.declared.checks_fencing) {
        if (!role.first_listed)
            return eviction_block::not_first_listed;
        if (now - role.list_read > settings.list_fresh)
            return eviction_block::list_stale;
        // Another instance may have become owner because it receives no
        // heartbeats from this one, and may have granted leases unknown to this
        // owner. The engine cannot distinguish the two owners.
        if (!role.all_reachable)
            return eviction_block::not_all_reachable;
    }
    return now < e.predecessor_leases_end ? eviction_block::predecessor_leases
                                          : eviction_block::none;
}

} // namespace

eviction_block check_eviction(const engine& e, const slot& s,
                              std::size_t open_leases, const ownership& role,
                              const lease_settings& settings, time_point now)
{
    if (open_leases > 0)
        return eviction_block::open_lease;
    if (s.state != slot_state::ready)
        return eviction_block::order_in_flight;
    const eviction_block block = check_role(e, role, settings, now);
    if (block != eviction_block::none)
        return block;
    if (has_unexplained_work(s, settings))
        return eviction_block::running;
    if (!confirmed_idle(e, s, settings))
        return eviction_block::unconfirmed_idle;
    // During a partition another owner may grant leases on an adapter that
    // appears idle here, so the report must be as recent as polling allows.
    if (!role.all_reachable &&
        s.last_idle_report + settings.max_idle_report_age < now)
        return eviction_block::unconfirmed_idle;
    return eviction_block::none;
}

time_point predecessor_leases_end(time_point since,
                                  const lease_settings& settings)
{
    return since + settings.ttl + settings.list_lag;
}

std::string_view to_string(eviction_block b) noexcept
{
    switch (b) {
    case eviction_block::none:
        return "none";
    case eviction_block::not_owner:
        return "not_owner";
    case eviction_block::order_in_flight:
        return "order_in_flight";
    case eviction_block::open_lease:
        return "open_lease";
    case eviction_block::predecessor_leases:
        return "tenure";
    case eviction_block::unconfirmed_idle:
        return "unconfirmed_idle";
    case eviction_block::running:
        return "running";
    case eviction_block::superseded:
        return "superseded";
    case eviction_block::not_first_listed:
        return "not_first_listed";
    case eviction_block::list_stale:
        return "list_stale";
    case eviction_block::not_all_reachable:
        return "not_all_heard";
    }
    return "invalid";
}

} // namespace lovagegate::pool
