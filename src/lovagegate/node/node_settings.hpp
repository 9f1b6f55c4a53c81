#ifndef LOVAGEGATE_NODE_NODE_SETTINGS_HPP
#define LOVAGEGATE_NODE_NODE_SETTINGS_HPP

#include "lovagegate/idempotency/settings.hpp"
#include "lovagegate/membership/settings.hpp"
#include "lovagegate/permits/permit_node.hpp"
#include "lovagegate/placement/pool_map.hpp"
#include "lovagegate/pool/pool_settings.hpp"
#include "lovagegate/propagation/ticket_gossip.hpp"
#include "lovagegate/quarantine/crash_register.hpp"
#include "lovagegate/routing/settings.hpp"

namespace lovagegate::node {

/// Settings for reads of the platform's instance list.
struct list_settings
{
    duration min_watch_wait = 2s;         ///< of one watch (blocking read)
    duration min_read_interval = 250ms;   ///< between two reads by one instance
    duration retry_interval = 1s;         ///< delay after a failed read
    double fleet_calls_per_second = 60.0; ///< limit for all instances together
};

/// Settings of the decision code of one instance.
struct node_settings
{
    std::size_t pool_size = placement::default_pool_size;
    duration report_interval = 500ms; ///< between two polls of an engine
    /// Older reports are dropped: their content may be older than the pool
    /// owners' report_lag allows.
    duration max_report_age = 1s;
    /// Time after a stop request by which the other instances know that this
    /// instance is leaving.
    duration leave_propagation_time = 2s;
    list_settings list;
    routing::routing_settings routing;
    pool::pool_settings pool;
    permits::permit_settings permits;
    membership::membership_settings membership;
    propagation::gossip_settings gossip;
    idempotency::claim_settings claims;
    quarantine::quarantine_settings quarantine;
};

} // namespace lovagegate::node

#endif
