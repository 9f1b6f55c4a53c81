#ifndef LOVAGEGATE_GATEWAY_BOOT_SETTINGS_HPP
#define LOVAGEGATE_GATEWAY_BOOT_SETTINGS_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// What one instance knows when it starts. Defaults are those of the users'
/// first site and hold where the platform's settings leave a field out.
struct boot_settings
{
    std::string instance;
    std::string address; ///< IP number of this machine
    std::string failure_domain;
    settings::endpoint callers;   ///< where callers connect
    settings::endpoint readiness; ///< where the platform asks for readiness
    settings::endpoint control;   ///< pages for peers and operators
    std::uint16_t peer_port = 0;  ///< datagrams between instances
    /// The deploy file names it; the port that Prometheus' exporters begin at.
    std::uint16_t metrics_port = 9464;
    std::vector<settings::endpoint> seeds; ///< control addresses; may be stale
    settings::endpoint store;
    std::size_t memory_mb = 260;
    std::size_t descriptors = 4100;

    duration drain_after_notice = 2s; ///< last new request to a leaving target
    duration stop_grace = 8s;         ///< from SIGTERM to SIGKILL
    duration lease = 3s;      ///< least pause between orders of two instances
    double retry_ratio = 0.2; ///< repeats for each request, all instances
    duration retry_window = 10s;
    double retry_slack = 50; ///< further repeats in each window
    bool engines_check_fencing = true;
    bool first_start = false; ///< the whole system starts for the first time
};

} // namespace lovagegate::gateway

#endif
