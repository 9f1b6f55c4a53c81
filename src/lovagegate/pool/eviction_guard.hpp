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

/// Why an adapter must stay.
enum class eviction_block : std::uint8_t
{
    none,               ///< it may be evicted
    not_owner,          ///< another instance owns the pool
    order_in_flight,    ///< the slot is loading, unloading or uncertain
    open_lease,         ///< a granted request may run on it
    predecessor_leases, ///< an earlier owner's leases may be open
    unconfirmed_idle,   ///< no report young enough says that nothing runs
    running,            ///< a report shows work that no lease explains
    superseded,         ///< another owner holds a higher fencing token
    not_first_listed, ///< the engine checks nothing and the list names another
    list_stale,       ///< the same, and the list is too old
    not_all_reachable,  ///< the same, and a partition may be in sight
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(eviction_block b) noexcept;

/// Decides whether an adapter may be evicted from an engine. A running
/// request's adapter stays as long as the bounds of the settings on lag hold.
/// @param e the engine
/// @param s the slot that holds the adapter
/// @param open_leases open leases on it
/// @param role what membership says of the owner
/// @param settings bounds on lag
/// @param now time at which the order would be sent
/// @return none, or the first rule that forbids it
[[nodiscard]] eviction_block check_eviction(const engine& e, const slot& s,
                                            std::size_t open_leases,
                                            const ownership& role,
                                            const lease_settings& settings,
                                            time_point now);

/// @return when the leases of earlier owners have all been renewed with this
/// owner or have expired
[[nodiscard]] time_point predecessor_leases_end(time_point since,
                                                const lease_settings& settings);

} // namespace lovagegate::pool

#endif
