#ifndef LOVAGEGATE_POOL_OWNERSHIP_HPP
#define LOVAGEGATE_POOL_OWNERSHIP_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::pool {

/// Ownership of one pool by this instance, according to membership.
struct ownership
{
    bool owner = false; ///< this is the first usable instance for the pool
    bool first_listed = false; ///< this is the first instance for the pool in
                               ///< the published list
    time_point since{};        ///< when this instance became owner
    time_point list_read{};    ///< when the published list was last read
    /// Heartbeats of every listed instance arrived recently: there is no sign
    /// of a partition.
    bool all_reachable = true;

    friend bool operator==(const ownership&, const ownership&) = default;
};

} // namespace lovagegate::pool

#endif
