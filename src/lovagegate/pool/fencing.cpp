#include "lovagegate/pool/fencing.hpp"

#include "lovagegate/pool/eviction_guard.hpp"

#include <algorithm>

namespace lovagegate::pool {

fencing_token order_token(engine& e) noexcept
{
    if (e.token == 0)
        e.token = e.seen + 1;
    return e.token;
}

void take_over(engine& e, time_point since, bool known_complete,
               const lease_settings& settings) noexcept
{
    e.token = 0;
    e.superseded = false;
    e.fenced = false;
    e.fence_order = 0;
    e.fence_sent = never;
    e.tenure_end = known_complete ? since : tenure_end(since, settings);
}

bool learn_token(engine& e, fencing_token highest, const ownership& role,
                 const lease_settings& settings, time_point now) noexcept
{
    e.seen = std::max(e.seen, highest);
    if (e.token == 0 || highest <= e.token)
        return false;
    if (!role.first_listed) {
        e.superseded = true;
        return true;
    }
    e.token = highest + 1;
    e.fenced = false;
    e.fence_order = 0;
    e.fence_sent = never;
    e.tenure_end = std::max(e.tenure_end, tenure_end(now, settings));
    return true;
}

} // namespace lovagegate::pool
