#include "lovagegate/pool/fencing.hpp"

#include "lovagegate/pool/eviction_guard.hpp"

#include <algorithm>

namespace lovagegate::pool {

fencing_token order_token(engine& e) noexcept
{
    if (e.token == 0)
        e.token = e.highest_seen_token + 1;
    return e.token;
}

void take_over(engine& e, time_point since, bool all_leases_known,
               const lease_settings& settings) noexcept
{
    e.token = 0;
    e.superseded = false;
    e.fenced = false;
    e.fencing_order = 0;
    e.fencing_order_sent = never;
    e.predecessor_leases_end =
        all_leases_known ? since : predecessor_leases_end(since, settings);
}

bool on_reported_token(engine& e, fencing_token highest, const ownership& role,
                       const lease_settings& settings, time_point now) noexcept
{
    e.highest_seen_token = std::max(e.highest_seen_token, highest);
    if (e.token == 0 || highest <= e.token)
        return false;
    if (!role.first_listed) {
        e.superseded = true;
        return true;
    }
    e.token = highest + 1;
    e.fenced = false;
    e.fencing_order = 0;
    e.fencing_order_sent = never;
    e.predecessor_leases_end = std::max(e.predecessor_leases_end,
                                        predecessor_leases_end(now, settings));
    return true;
}

} // namespace lovagegate::pool
