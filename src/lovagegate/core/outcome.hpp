#ifndef LOVAGEGATE_CORE_OUTCOME_HPP
#define LOVAGEGATE_CORE_OUTCOME_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lovagegate {

/// Why a request was refused. Each value is a counter label and an error type
/// sent to the caller, and guarantees that no part of the request ran on a
/// target, unless the outcome is unknown.
enum class refusal : std::uint8_t
{
    none,
    not_ready,            ///< the instance has not loaded its initial state
    stopping,             ///< the instance is shutting down
    unknown_service,      ///< no ticket in force declares the service
    unknown_adapter,      ///< the service has no such adapter
    version_not_allowed,  ///< the adapter is permitted, this version is not
    unknown_route,        ///< the plain service has no such method and path
    malformed_request,    ///< HTTP, JSON or UTF-8 is not well formed
    request_too_large,    ///< the body exceeds the limit
    request_id_required,  ///< a non-idempotent call without a request id
    request_id_stale,     ///< issued longer ago than ids are remembered
    request_id_conflict,  ///< the same id came with another body
    request_running,      ///< the same id is running now
    service_limit,        ///< the service has too many open requests
    queue_full,           ///< the queue of the pool is full
    deadline_unreachable, ///< the request cannot be served in time
    retries_exhausted,    ///< every attempt was refused before it ran
    retry_budget,         ///< retries exceed their share of first attempts
    no_target,            ///< no target in the group is available
    owner_unreachable,    ///< the owner of the pool cannot be reached
    home_unreachable,     ///< the home of the request id cannot be reached
    load_failed,          ///< the adapter could not be loaded
    quarantined,          ///< the request has crashed targets
    caller_gone,          ///< the caller disconnected before its answer
};

/// Why a request may be retried. Each value is a counter label.
enum class retry_reason : std::uint8_t
{
    none,
    connect_failed,     ///< no connection: nothing was sent
    target_refused,     ///< the target refused with "not run"
    adapter_missing,    ///< the engine reported that it lacks the adapter
    lease_expired,      ///< the send window closed before the request was sent
    owner_changed,      ///< the pool has another owner
    owner_timeout,      ///< the owner did not answer
    target_crashed,     ///< the connection broke; idempotent calls only
    target_error,       ///< a server error of the target; idempotent calls only
    mismatched_answer,  ///< the answer names another adapter or request
    target_timeout,     ///< no answer in time; idempotent calls only
    stream_interrupted, ///< after the first token; resumable calls only
};

/// How a request ended; each request has exactly one outcome.
enum class request_outcome : std::uint8_t
{
    completed, ///< the whole answer was forwarded
    not_run,   ///< provably not run; a refusal gives the reason
    unknown,   ///< it may have run; the answer is unknown or incomplete
};

/// @return the name used in counters, error bodies and histories
[[nodiscard]] std::string_view to_string(refusal r) noexcept;
/// @copydoc to_string(refusal)
[[nodiscard]] std::string_view to_string(retry_reason r) noexcept;
/// @copydoc to_string(refusal)
[[nodiscard]] std::string_view to_string(request_outcome o) noexcept;

/// Priority class of a request; lower values are served first.
enum class priority : std::uint8_t
{
    interactive, ///< a person waits for the answer
    normal,      ///< look-ups
    batch,       ///< may be slow, but must complete
};

inline constexpr std::size_t priority_count = 3;

/// @return the name used in headers, counters and logs
[[nodiscard]] std::string_view to_string(priority p) noexcept;

} // namespace lovagegate

#endif
