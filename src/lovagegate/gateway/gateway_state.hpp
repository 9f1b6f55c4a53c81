#ifndef LOVAGEGATE_GATEWAY_GATEWAY_STATE_HPP
#define LOVAGEGATE_GATEWAY_GATEWAY_STATE_HPP

#include "lovagegate/access/store_contact.hpp"
#include "lovagegate/core/counters.hpp"
#include "lovagegate/gateway/boot_settings.hpp"
#include "lovagegate/gateway/engine_ownership.hpp"
#include "lovagegate/gateway/member_table.hpp"
#include "lovagegate/gateway/placement.hpp"
#include "lovagegate/gateway/releases.hpp"
#include "lovagegate/gateway/retry_budget.hpp"
#include "lovagegate/gateway/route_table.hpp"
#include "lovagegate/gateway/send_allowance.hpp"
#include "lovagegate/gateway/target_directory.hpp"

namespace lovagegate::gateway {

/// The state of one instance. Only the event loop's thread may use it; its
/// parts use neither sockets nor clocks.
struct gateway_state
{
    boot_settings boot;
    route_table routes;
    target_directory targets;
    member_table members;
    engine_ownership ownership;
    placement placements;
    retry_budget retries;
    release_table releases;
    send_allowance allowance;
    counters counts;
    bool stopping = false;
    /// While stopping: when requests that are still open are given up.
    time_point gives_up_at = time_point::max();
    access::store_contact contact{};
};

} // namespace lovagegate::gateway

#endif
