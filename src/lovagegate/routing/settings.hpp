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
    std::array<duration, priority_count> deadlines{10s, 30s, 3600s};
    duration max_deadline = 24h;

    duration lease_repeat = 1s; ///< an unanswered lease_request is repeated
    std::uint32_t silent_repeats = 2; ///< then the owner counts as unreachable
    duration renewal_interval = 2s;   ///< a third of the owners' lease ttl
    duration send_margin = 100ms;     ///< kept free at the end of a send window

    duration claim_repeat = 500ms; ///< an unanswered claim_request is repeated
    std::uint32_t claim_tries = 3; ///< then the home counts as unreachable

    std::uint32_t max_attempts = 5; ///< on targets, for one request
    double retry_share = 0.2;       ///< retries for each first try
    double retry_burst = 20.0;      ///< retries that may be saved up
    duration backoff_base = 20ms;
    duration backoff_max = 2s;

    duration width_memory = 60s; ///< how long a grant's width hint is believed
    duration retry_after = 1s;   ///< advice where nothing better is known

    /// Time without an error after which a failing plain target is tried.
    duration ejection = 5s;
    std::uint32_t ejection_errors = 3; ///< errors in a row that eject a target
};

} // namespace lovagegate::routing

#endif
