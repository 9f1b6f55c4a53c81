#ifndef LOVAGEGATE_ROUTING_SETTINGS_HPP
#define LOVAGEGATE_ROUTING_SETTINGS_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lovagegate::routing {

struct routing_settings
{
    /// Time until a request is useless, for callers that name none.
    std::array<duration, priority_count> default_deadlines{10s, 30s, 3600s};
    duration max_deadline = 24h;

    duration lease_retry_interval =
        1s; ///< an unanswered lease_request is repeated
    std::uint32_t max_unanswered_repeats =
        2;                          ///< then the owner counts as unreachable
    duration renewal_interval = 2s; ///< a third of the owners' lease ttl
    duration send_window_margin =
        100ms; ///< kept free at the end of a send window

    duration claim_retry_interval =
        500ms; ///< an unanswered claim_request is repeated
    std::uint32_t max_claim_attempts =
        3; ///< then the home counts as unreachable

    std::uint32_t max_attempts = 5;      ///< on targets, for one request
    double retry_budget_ratio = 0.2;     ///< retries for each first try
    double retry_budget_capacity = 20.0; ///< retries that may be saved up
    duration initial_backoff = 20ms;
    duration max_backoff = 2s;

    duration width_hint_ttl =
        60s; ///< how long a grant's width hint is believed
    duration default_retry_after = 1s; ///< advice where nothing better is known

    /// Time without an error after which a failing plain target is tried.
    duration ejection_duration = 5s;
    std::uint32_t ejection_error_threshold =
        3; ///< errors in a row that eject a target
};

} // namespace lovagegate::routing

#endif
