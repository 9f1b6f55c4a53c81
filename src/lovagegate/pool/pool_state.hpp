#ifndef LOVAGEGATE_POOL_POOL_STATE_HPP
#define LOVAGEGATE_POOL_POOL_STATE_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/pool/adapter_table.hpp"
#include "lovagegate/pool/demand_estimator.hpp"
#include "lovagegate/pool/engine_set.hpp"
#include "lovagegate/pool/eviction_guard.hpp"
#include "lovagegate/pool/lease_table.hpp"
#include "lovagegate/pool/ownership.hpp"
#include "lovagegate/pool/pool_settings.hpp"
#include "lovagegate/pool/waiting_queue.hpp"

namespace lovagegate::pool {

/// State shared by the components of a pool's owner.
struct pool_state
{
    pool_id id;
    pool_settings settings;
    counters& counts;
    ownership role;
    adapter_table adapters;
    engine_set engines;
    lease_table leases;
    waiting_queue queue;
    demand_estimator demand;

    pool_state(pool_id pool, const pool_settings& s, counters& c)
        : id(std::move(pool)), settings(s), counts(c), demand(s.demand)
    {
    }

    /// @return none if the adapter in the slot may be evicted now, otherwise
    /// the reason against it
    [[nodiscard]] eviction_block check(engine_index index, const slot& s,
                                       time_point now) const
    {
        return check_eviction(engines.at(index), s,
                              leases.on_adapter(index, s.adapter), role,
                              settings.lease, now);
    }
};

} // namespace lovagegate::pool

#endif
