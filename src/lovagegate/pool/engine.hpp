#ifndef LOVAGEGATE_POOL_ENGINE_HPP
#define LOVAGEGATE_POOL_ENGINE_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/engine_health.hpp"
#include "lovagegate/pool/residency.hpp"
#include "lovagegate/ticket/model.hpp"

namespace lovagegate::pool {

/// What the owner knows of one engine of its pool.
struct engine
{
    target_id id;
    ticket::target declared;
    bool removed = false;     ///< no ticket in force declares it
    bool unreachable = false; ///< until its next report
    incarnation start = 0;    ///< 0: it has not reported yet
    time_point reported = never;
    /// Its run may have ended unnoticed; only a report that was asked for
    /// since then tells.
    bool in_doubt = false;
    time_point doubted{};
    residency holds;
    engine_health health;

    fencing_token seen = 0;  ///< highest token that the engine told
    fencing_token token = 0; ///< of our orders; 0: none taken yet
    /// Another owner holds a higher token and comes before us in the list.
    bool superseded = false;
    /// It has taken an order with our token: earlier owners are refused.
    bool fenced = false;
    local_id fence_order = 0; ///< the open order that fences it; 0: none
    time_point fence_sent = never;
    /// Before it, leases that we do not know of may be open.
    time_point tenure_end = never;

    /// @return whether it may get new work
    [[nodiscard]] bool usable() const noexcept
    {
        return !removed && !unreachable && !in_doubt && !declared.leaving &&
               start != 0;
    }

    /// Its run may have ended.
    void doubt(time_point now) noexcept
    {
        in_doubt = true;
        doubted = now;
    }
};

} // namespace lovagegate::pool

#endif
