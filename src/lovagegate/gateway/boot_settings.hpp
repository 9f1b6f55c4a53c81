#ifndef LOVAGEGATE_GATEWAY_BOOT_SETTINGS_HPP
#define LOVAGEGATE_GATEWAY_BOOT_SETTINGS_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/quota/workspace_limit.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// Settings of one instance at its start. The defaults are those of the first
/// deployment and apply where the platform's settings omit a field.
struct boot_settings
{
    std::string instance;
    std::string address; ///< IP address of this machine
    std::string failure_domain;
    settings::endpoint callers; ///< address for callers
    settings::endpoint
        readiness;               ///< address of the platform's readiness checks
    settings::endpoint control;  ///< pages for peers and operators
    std::uint16_t peer_port = 0; ///< for datagrams between instances
    /// Named in the deploy file; the first port of the range of Prometheus
    /// exporters.
    std::uint16_t metrics_port = 9464;
    std::vector<settings::endpoint>
        seeds; ///< control addresses; may be outdated
    settings::endpoint store;
    std::size_t memory_mb = 260;
    std::size_t descriptors = 4100;
    double link_bytes_per_s = 125e6; ///< bandwidth of the machine's link
    double cpu_cores = 0; ///< that the process may use; 0 if not stated

    duration drain_after_notice =
        2s; ///< time in which a leaving target still gets requests
    /// From the return of the store, or of this instance's path to it, until
    /// the limits above hold again.
    duration stable_window = 3s;
    duration stop_grace = 8s; ///< from SIGTERM to SIGKILL
    duration lease = 3s; ///< minimum time between the orders of two instances
    double retry_ratio = 0.2; ///< retries per request, over all instances
    duration retry_window = 10s;
    double retry_slack = 50; ///< additional retries in each window
    /// Limits of workspaces, over all instances.
    quota::quota_settings quota;
    bool engines_check_fencing = true;
    /// Engines are not sent more tokens than their memory holds.
    bool engines_bound_memory = false;
    /// The owner of an engine admits the requests of all instances to it; only
    /// in large fleets.
    bool owners_admit_requests = false;
    bool first_start =
        false; ///< whether the whole system starts for the first time
};

} // namespace lovagegate::gateway

#endif
