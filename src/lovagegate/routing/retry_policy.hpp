#ifndef LOVAGEGATE_ROUTING_RETRY_POLICY_HPP
#define LOVAGEGATE_ROUTING_RETRY_POLICY_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/routing/settings.hpp"

namespace lovagegate::routing {

/// What an ended attempt means for its request.
struct attempt_verdict
{
    /// none: the request must not be tried again.
    retry_reason retry = retry_reason::none;
    /// The target may have run the request, wholly or in part.
    bool may_have_run = false;
};

/// The retry table of docs/design/retries.md.
/// @param end how the attempt ended
/// @param idempotent whether a second run does no harm
/// @param answering whether the caller has part of the answer already
[[nodiscard]] attempt_verdict
classify_attempt_end(node::attempt_end end, bool idempotent,
                     bool answer_started) noexcept;

/// Retries as a share of first tries, so that they cannot multiply the load
/// of a fleet whose targets fail.
class retry_budget
{
public:
    explicit retry_budget(const routing_settings& settings) noexcept;

    /// Counts a first try.
    void on_first_attempt() noexcept;

    /// @return whether a retry is within the budget, which it then takes
    [[nodiscard]] bool try_acquire() noexcept;

private:
    double ratio_;
    double capacity_;
    double tokens_;
};

/// Exponential back-off with full jitter.
/// @param attempt 1 for the first retry
/// @param random a uniformly distributed number
[[nodiscard]] duration backoff(const routing_settings& settings,
                               std::uint32_t attempt,
                               std::uint64_t random) noexcept;

} // namespace lovagegate::routing

#endif
