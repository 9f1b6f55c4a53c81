#ifndef LOVAGEGATE_POOL_ENGINE_HPP
#define LOVAGEGATE_POOL_ENGINE_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/engine_health.hpp"
#include "lovagegate/pool/residency.hpp"
#include "lovagegate/ticket/model.hpp"

namespace lovagegate::pool {

/// State of one engine of the pool, as known to the owner.
struct engine
{
    target_id id;
    ticket::target declared;
    bool removed = false;     ///< no ticket in force declares the engine
    bool unreachable = false; ///< set until the next report
    incarnation start = 0;    ///< 0: no report received yet
    time_point last_report = never;
    /// The known run may have ended unnoticed. Only a report requested after
    /// report_required_since clears the flag.
    bool report_required = false;
    time_point report_required_since{};
    residency residents;
    engine_health health;

    fencing_token highest_seen_token =
        0; ///< highest token that the engine reported
    fencing_token token =
        0; ///< token of this owner's orders; 0: none chosen yet
    /// Another owner has a higher token, and this instance is not the first of
    /// the published list.
    bool superseded = false;
    /// The engine has accepted an order with this owner's token and rejects
    /// earlier owners.
    bool fenced = false;
    local_id fencing_order = 0; ///< id of the fencing order in flight; 0: none
    time_point fencing_order_sent = never;
    /// Until this time, leases of earlier owners that are unknown here may be
    /// open.
    time_point predecessor_leases_end = never;

    /// @return whether the engine may get new work
    [[nodiscard]] bool usable() const noexcept
    {
        return !removed && !unreachable && !report_required &&
               !declared.leaving && start != 0;
    }

    /// Blocks new work until a newly requested report arrives: the known run
    /// may have ended.
    void require_report(time_point now) noexcept
    {
        report_required = true;
        report_required_since = now;
    }
};

} // namespace lovagegate::pool

#endif
