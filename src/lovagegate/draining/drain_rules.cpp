#include "lovagegate/draining/drain_rules.hpp"

#include <algorithm>

namespace lovagegate::draining {

namespace {

/// Longest way of news while one reader of the store is replaced: 1.1 s, see
/// the argument in docs/design/platform.md.
constexpr duration max_news_time = 1200ms;
/// Part of the limit in which a leaving target is used at most.
constexpr int use_divisor = 2;

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
    const duration as_last_resort = use_after_news();
    if (facts.was_leaving)
        return {duration::zero(), as_last_resort};
    // A request on its way must arrive within the limit in any case.
    const duration in_doubt =
        std::clamp(facts.doubt_left, duration::zero(),
                   std::max(duration::zero(), limit_ - max_request_time));
    return {in_doubt, std::max(in_doubt, as_last_resort)};
}

} // namespace lovagegate::draining
