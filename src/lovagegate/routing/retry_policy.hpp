#ifndef LOVAGEGATE_ROUTING_RETRY_POLICY_HPP
#define LOVAGEGATE_ROUTING_RETRY_POLICY_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/routing/settings.hpp"

namespace lovagegate::routing {

/// Whether a request may be retried after an attempt.
struct attempt_verdict
{
    /// none: the request must not be retried.
    retry_reason retry = retry_reason::none;
    /// Whether the target may have run the request, wholly or in part.
    bool may_have_run = false;
};

/// Applies the retry table of docs/design/retries.md to an ended attempt.
/// @param end how the attempt ended
/// @param idempotent whether the call may safely run a second time
/// @param answer_started whether the caller has received part of the answer
[[nodiscard]] attempt_verdict
classify_attempt_end(node::attempt_end end, bool idempotent,
                     bool answer_started) noexcept;

/// Token bucket that limits retries to a share of first attempts, so that
/// retries cannot multiply the load while targets fail.
class retry_budget
{
public:
    explicit retry_budget(const routing_settings& settings) noexcept;

    /// Adds retry_budget_ratio tokens, up to the capacity.
    void on_first_attempt() noexcept;

    /// Takes one token for a retry.
    /// @return false if less than one token is left
    [[nodiscard]] bool try_acquire() noexcept;

private:
    double ratio_;
    double capacity_;
    double tokens_;
};

/// Returns a delay by exponential backoff with full jitter.
/// @param attempt 1 for the first retry
/// @param random uniformly distributed over all 64-bit values
[[nodiscard]] duration backoff(const routing_settings& settings,
                               std::uint32_t attempt,
                               std::uint64_t random) noexcept;

} // namespace lovagegate::routing

#endif
