#ifndef LOVAGEGATE_HISTORY_RULE_HPP
#define LOVAGEGATE_HISTORY_RULE_HPP

#include "lovagegate/core/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::history {

/// Invariants that every run has to satisfy.
enum class rule : std::uint8_t
{
    exact_adapter,      ///< a request runs on the adapter it requested
    no_eviction_in_use, ///< an adapter is not evicted while in use
    whole_own_answer,   ///< each caller gets its own complete answer, once
    truthful_not_run,   ///< "not run" is reported only if nothing ran
    at_most_once,       ///< a non-idempotent request runs at most once
    leaving_target,     ///< no new work once the leave limit has passed
    graceful_stop,      ///< a graceful shutdown cuts off no request
    ticket_in_force,    ///< tickets reach all instances and never revert
    store_rate,         ///< loads stay within the rate limit of the store
    crash_bound,        ///< one request crashes a bounded number of targets
};

inline constexpr std::size_t rule_count = 10;

/// @return the rule's name in reports
[[nodiscard]] std::string_view to_string(rule r) noexcept;

/// Limits used by the rules.
struct check_limits
{
    duration leaving = 5s;   ///< from the notice to the last new request
    duration in_force = 13s; ///< from acceptance to force on all instances
    std::size_t crashes_by_print = 2; ///< max. crashes caused by one request
    double loads_per_second = 0.0; ///< rate limit of the store; 0: not checked
    duration load_window = 10s;    ///< sliding window of the rate
};

enum class subject_kind : std::uint8_t
{
    request,
    target,
    instance,
};

/// The request, target or instance that a violation concerns.
struct subject
{
    subject_kind kind = subject_kind::request;
    std::string name;

    friend auto operator<=>(const subject&, const subject&) = default;
};

/// The subject of a violation; empty if the rule holds.
using verdict = std::optional<subject>;

} // namespace lovagegate::history

#endif
