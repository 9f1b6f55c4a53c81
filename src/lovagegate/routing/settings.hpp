#ifndef LOVAGEGATE_ROUTING_SETTINGS_HPP
#define LOVAGEGATE_ROUTING_SETTINGS_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lovagegate::routing {

/// Settings of the routing of requests to targets.
struct routing_settings
{
    /// Deadlines of requests that specify none, by priority.
    std::array<duration, priority_count> default_deadlines{10s, 30s, 3600s};
    duration max_deadline = 24h;

    duration lease_retry_interval = 1s; ///< of an unanswered lease_request
    std::uint32_t max_unanswered_repeats =
        2; ///< then the owner is considered unreachable
    duration renewal_interval = 2s; ///< a third of the lease ttl
    duration send_window_margin =
        100ms; ///< by which a send window is shortened

    duration claim_retry_interval = 500ms; ///< of an unanswered claim_request
    std::uint32_t max_claim_attempts =
        3; ///< then the home is considered unreachable

    std::uint32_t max_attempts = 5;  ///< attempts on targets per request
    double retry_budget_ratio = 0.2; ///< retries earned by each first attempt
    double retry_budget_capacity = 20.0; ///< most retries in the budget
    duration initial_backoff = 20ms;
    duration max_backoff = 2s;

    duration width_hint_ttl = 60s;     ///< how long a grant's width is used
    duration default_retry_after = 1s; ///< if no refusal gives one

    /// Time since its last error during which a failing plain target is
    /// avoided.
    duration ejection_duration = 5s;
    std::uint32_t ejection_error_threshold =
        3; ///< consecutive errors that eject a target
};

} // namespace lovagegate::routing

#endif
