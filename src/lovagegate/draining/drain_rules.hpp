#ifndef LOVAGEGATE_DRAINING_DRAIN_RULES_HPP
#define LOVAGEGATE_DRAINING_DRAIN_RULES_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::draining {

/// Allowed for a request from the decision to send it to its arrival.
inline constexpr duration max_request_time = 100ms;

/// What is known when the entry of a target is gone from the store.
struct removal_facts
{
    /// For how much longer the entry may merely have expired while the store
    /// was away, as told with the news; see expiry_doubt. The number of
    /// removals is no evidence, since targets may leave together.
    duration doubt_left{};
    bool was_leaving = false; ///< the target had said that it leaves
};

/// How a target is used after its entry is gone, from the news on.
struct removal_terms
{
    duration preferred_for{}; ///< time in which it is used as before
    duration usable_for{};    ///< time in which it is used at all
};

/// Decides how long a leaving target gets requests. The drain limit counts from
/// the store's acknowledgement and is divided by step: the way of the news to
/// this instance, the use after it, and the way of a request.
class drain_rules
{
public:
    /// @param limit longest time from the acknowledgement to the arrival of a
    ///        request at the target
    explicit drain_rules(duration limit) : limit_(limit) {}

    [[nodiscard]] removal_terms on_removed(const removal_facts& facts) const;

    /// @return time in which a target that leaves by its entry, or whose entry
    ///         is gone, may be used as a last resort
    [[nodiscard]] duration use_after_news() const;

    /// @return the same for a target whose answer said that it leaves
    [[nodiscard]] duration use_after_notice() const;

private:
    duration limit_;
};

} // namespace lovagegate::draining

#endif
