#ifndef LOVAGEGATE_POOL_EVICTION_GUARD_HPP
#define LOVAGEGATE_POOL_EVICTION_GUARD_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/engine.hpp"
#include "lovagegate/pool/ownership.hpp"
#include "lovagegate/pool/pool_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lovagegate::pool {

/// Reason why an adapter must not be evicted.
enum class eviction_block : std::uint8_t
{
    none,               ///< the adapter may be evicted
    not_owner,          ///< another instance owns the pool
    order_in_flight,    ///< the slot is loading, unloading or uncertain
    open_lease,         ///< a granted request may run on it
    predecessor_leases, ///< leases of an earlier owner may still be open
    unconfirmed_idle, ///< no report is recent enough to prove the adapter idle
    running,    ///< a report shows work that no lease of this owner explains
    superseded, ///< another owner has a higher fencing token
    not_first_listed, ///< no fencing on the engine; the published list ranks
                      ///< another instance first
    list_stale, ///< no fencing on the engine; the published list was read too
                ///< long ago
    not_all_reachable, ///< no fencing on the engine; there may be a partition
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(eviction_block b) noexcept;

/// Decides whether an adapter may be evicted from an engine. The adapter of a
/// running request is never evicted as long as the lag bounds in the settings
/// hold.
/// @param e the engine
/// @param s the slot that holds the adapter
/// @param open_leases open leases on it
/// @param role ownership of the pool according to membership
/// @param settings bounds on lag
/// @param now time at which the order would be sent
/// @return none, or the first rule that forbids the eviction
[[nodiscard]] eviction_block check_eviction(const engine& e, const slot& s,
                                            std::size_t open_leases,
                                            const ownership& role,
                                            const lease_settings& settings,
                                            time_point now);

/// @return time at which every lease of an earlier owner has been renewed with
/// this owner or has expired
[[nodiscard]] time_point predecessor_leases_end(time_point since,
                                                const lease_settings& settings);

} // namespace lovagegate::pool

#endif
