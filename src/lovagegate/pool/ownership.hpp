#ifndef LOVAGEGATE_POOL_OWNERSHIP_HPP
#define LOVAGEGATE_POOL_OWNERSHIP_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::pool {

/// What membership says of this instance and one pool.
struct ownership
{
    bool owner = false;        ///< the first usable instance for the pool
    bool first_listed = false; ///< the first of the published list
    time_point since{};        ///< when it became owner
    time_point list_read{};    ///< when the published list was last read
    /// Every listed instance was heard lately: no partition is in sight.
    bool all_reachable = true;

    friend bool operator==(const ownership&, const ownership&) = default;
};

} // namespace lovagegate::pool

#endif
