#ifndef LOVAGEGATE_CORE_OUTCOME_HPP
#define LOVAGEGATE_CORE_OUTCOME_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lovagegate {

/// Why a request was not run. Each is a counter, an error type towards the
/// caller, and a promise: nothing of the request reached a target.
enum class refusal : std::uint8_t
{
    none,
    not_ready,            ///< the instance does not know enough yet
    stopping,             ///< the instance is shutting down
    unknown_service,      ///< no ticket in force declares the service
    unknown_adapter,      ///< the service has no such adapter
    version_not_allowed,  ///< the adapter is permitted, this version is not
    unknown_route,        ///< the plain service has no such method and path
    malformed_request,    ///< HTTP, JSON or UTF-8 is not well formed
    request_too_large,    ///< the body is over the limit
    request_id_required,  ///< a non-idempotent call without a request id
    request_id_stale,     ///< issued longer ago than ids are remembered
    request_id_conflict,  ///< the same id came with another body
    request_running,      ///< the same id is running now
    service_limit,        ///< the service has too many open requests
    queue_full,           ///< the queue of the pool is full
    deadline_unreachable, ///< the request cannot be served in time
    retries_exhausted,    ///< every try was refused before it ran
    retry_budget,         ///< retries are over their share of first tries
    no_target,            ///< no target in the group can take work
    owner_unreachable,    ///< the owner of the pool cannot be reached
    home_unreachable,     ///< the home of the request id cannot be reached
    load_failed,          ///< the adapter could not be loaded
    quarantined,          ///< the request crashed targets
    caller_gone,          ///< the caller left before the request was sent
};

/// Why a request may be tried again, each one a counter.
enum class retry_reason : std::uint8_t
{
    none,
    connect_failed,     ///< no connection: nothing was sent
    target_refused,     ///< the target's typed "not run"
    adapter_missing,    ///< the engine said that it does not hold the adapter
    lease_expired,      ///< the lease ran out before the request was sent
    owner_changed,      ///< the pool has another owner
    owner_timeout,      ///< the owner did not answer
    target_crashed,     ///< the connection broke; idempotent calls only
    target_error,       ///< a server error of the target; idempotent calls only
    mismatched_answer,  ///< the answer names another adapter or request
    target_timeout,     ///< no answer in time; idempotent calls only
    stream_interrupted, ///< broke after the first token; resumable calls only
};

/// How a request ended: exactly one for each request.
enum class request_outcome : std::uint8_t
{
    completed, ///< the whole answer was passed on
    not_run,   ///< provably not run, with a refusal
    unknown,   ///< it may have run; the answer is not known or not whole
};

/// @return the name used in counters, error bodies and histories
[[nodiscard]] std::string_view to_string(refusal r) noexcept;
/// @copydoc to_string(refusal)
[[nodiscard]] std::string_view to_string(retry_reason r) noexcept;
/// @copydoc to_string(refusal)
[[nodiscard]] std::string_view to_string(request_outcome o) noexcept;

/// Importance of a request: a lower value goes first.
enum class priority : std::uint8_t
{
    interactive, ///< somebody waits at the gate or the counter
    normal,      ///< look-ups
    batch,       ///< may be slow, must arrive
};

inline constexpr std::size_t priority_count = 3;

/// @return the name used in headers, counters and logs
[[nodiscard]] std::string_view to_string(priority p) noexcept;

} // namespace lovagegate

#endif
