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
    time_point last_report = never;
    /// Its run may have ended unnoticed; only a report that was asked for
    /// since then tells.
    bool report_required = false;
    time_point report_required_since{};
    residency residents;
    engine_health health;

    fencing_token highest_seen_token =
        0;                   ///< highest token that the engine told
    fencing_token token = 0; ///< of our orders; 0: none taken yet
    /// Another owner holds a higher token and comes before us in the list.
    bool superseded = false;
    /// It has taken an order with our token: earlier owners are refused.
    bool fenced = false;
    local_id fencing_order = 0; ///< the open order that fences it; 0: none
    time_point fencing_order_sent = never;
    /// Before it, leases that we do not know of may be open.
    time_point predecessor_leases_end = never;

    /// @return whether it may get new work
    [[nodiscard]] bool usable() const noexcept
    {
        return !removed && !unreachable && !report_required &&
               !declared.leaving && start != 0;
    }

    /// Its run may have ended.
    void require_report(time_point now) noexcept
    {
        report_required = true;
        report_required_since = now;
    }
};

} // namespace lovagegate::pool

#endif
