#include "lovagegate/draining/drain_rules.hpp"

#include <algorithm>

namespace lovagegate::draining {

namespace {

/// Longest way of news while one reader of the store is replaced: 1.1 s, see
/// the argument in docs/design/platform.md.
constexpr duration max_news_time = 1200ms;
/// From the decision to send a request to its arrival.
constexpr duration max_request_time = 100ms;
/// Part of the limit in which a leaving target is used at most.
constexpr int use_divisor = 2;
/// Entries that expired while the store was unreachable return within two
/// seconds.
constexpr duration expired_entry_grace = 1900ms;

} // namespace

duration drain_rules::use_after_notice() const
{
    return limit_ / use_divisor;
}

duration drain_rules::use_after_news() const
{
    return std::clamp(limit_ - max_news_time - max_request_time,
                      duration::zero(), use_after_notice());
}

removal_terms drain_rules::on_removed(const removal_facts& facts) const
{
    if (facts.store_was_away && !facts.was_leaving)
        return {expired_entry_grace, expired_entry_grace};
    return {duration::zero(), use_after_news()};
}

} // namespace lovagegate::draining
