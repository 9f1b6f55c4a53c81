#include "lovagegate/draining/expiry_doubt.hpp"

#include <algorithm>

namespace lovagegate::draining {

namespace {

/// Entries that expired while the store was away return within this time.
constexpr duration entry_return_time = 2s;
/// Longest doubt after the earliest moment at which the store may have
/// returned. An instance is held to the drain limit from 3 s after the return
/// on, also for entries that were deleted while only this instance was cut off.
constexpr duration max_doubt = 2900ms;

} // namespace

void expiry_doubt::on_call_failed(time_point sent)
{
    away_ = true;
    last_failed_sent_ = sent;
}

void expiry_doubt::on_answer(time_point now)
{
    if (!away_)
        return;
    away_ = false;
    on_told(std::min(now + entry_return_time, last_failed_sent_ + max_doubt));
}

void expiry_doubt::on_restored(time_point now)
{
    away_ = false;
    on_told(now + entry_return_time);
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
