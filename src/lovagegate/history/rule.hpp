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

/// What must always hold.
enum class rule : std::uint8_t
{
    exact_adapter,      ///< a request runs on the adapter it asked for
    no_eviction_in_use, ///< no eviction under a running request
    whole_own_answer,   ///< each caller gets its own whole answer, once
    truthful_not_run,   ///< "not run" is said only when it did not run
    at_most_once,       ///< a non-idempotent request runs at most once
    leaving_target,     ///< no new work soon after the notice of leaving
    graceful_stop,      ///< a planned stop cuts off no request
    ticket_in_force,    ///< tickets take effect everywhere, never revert
    store_rate,         ///< loads stay within the store's rate
    crash_bound,        ///< one request breaks a bounded number of targets
};

inline constexpr std::size_t rule_count = 10;

/// @return the rule's name in reports
[[nodiscard]] std::string_view to_string(rule r) noexcept;

/// Bounds that the rules refer to.
struct check_limits
{
    duration leaving = 5s;            ///< from notice to the last new work
    duration in_force = 13s;          ///< from acceptance to everywhere
    std::size_t crashes_by_print = 2; ///< targets broken by one request
    double loads_per_second = 0.0;    ///< of the store; 0: not checked
    duration load_window = 10s;       ///< over which the rate is taken
};

enum class subject_kind : std::uint8_t
{
    request,
    target,
    instance,
};

/// What a violation is about.
struct subject
{
    subject_kind kind = subject_kind::request;
    std::string name;

    friend auto operator<=>(const subject&, const subject&) = default;
};

/// Empty while the rule holds.
using verdict = std::optional<subject>;

} // namespace lovagegate::history

#endif
