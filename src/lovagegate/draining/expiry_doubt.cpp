#include "lovagegate/draining/expiry_doubt.hpp"

#include "lovagegate/draining/drain_rules.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::draining {

namespace {

/// Entries that expired while the store was away return within this time.
constexpr duration entry_return_time = 2s;

} // namespace

void expiry_doubt::on_call_failed(time_point sent)
{
    away_ = true;
    last_failed_sent_ = sent;
}

void expiry_doubt::on_answer(time_point now)
{
    last_answer_ = now;
    if (!std::exchange(away_, false))
        return;
    // The store may have been back since the last failed call was sent, and
    // only this instance may have been cut off, so that the drain limit of an
    // entry that was deleted meanwhile has passed when it holds again.
    end_after_return(now, last_failed_sent_);
}

void expiry_doubt::on_restored(time_point now)
{
    away_ = false;
    const time_point earliest = std::max(last_answer_, last_failed_sent_);
    end_after_return(now, earliest == time_point{} ? now : earliest);
}

void expiry_doubt::end_after_return(time_point noticed, time_point earliest)
{
    const time_point limit_holds = earliest + stable_window_;
    on_told(
        std::min(noticed + entry_return_time, limit_holds - max_request_time));
}

void expiry_doubt::on_told(time_point until)
{
    until_ = std::max(until_, until);
}

duration expiry_doubt::left(time_point now) const
{
    return std::max(duration::zero(), until_ - now);
}

} // namespace lovagegate::draining
