#include "lovagegate/pool/engine_health.hpp"

#include <algorithm>

namespace lovagegate::pool {

namespace {

/// Number of requests over which the failure share is averaged.
constexpr double averaging_window = 8.0;
/// Minimum number of requests for a significant failure share.
constexpr std::uint32_t min_samples = 4;

} // namespace

void engine_health::on_end(bool ok, duration first_token)
{
    ++samples_;
    failure_share_ += ((ok ? 0.0 : 1.0) - failure_share_) / averaging_window;
    if (first_token > duration::zero()) {
        const double ms = to_ms(first_token);
        first_token_ms_ = first_token_ms_ == 0.0
                              ? ms
                              : first_token_ms_ + (ms - first_token_ms_) / 32.0;
    }
    if (state_ != health_state::probing || !ok)
        return;
    state_ = health_state::good;
    failure_share_ = 0.0;
    samples_ = 0;
    first_token_ms_ = 0.0;
}

bool engine_health::failing(const health_settings& settings) const
{
    return (state_ == health_state::probing && failure_share_ > 0.0) ||
           (samples_ >= min_samples &&
            failure_share_ >= settings.failure_share);
}

void engine_health::eject(time_point now, const health_settings& settings)
{
    const std::uint32_t doublings = std::min(ejections_, 8U);
    const duration time = std::min(
        settings.initial_ejection * (1U << doublings), settings.max_ejection);
    state_ = health_state::ejected;
    ejected_until_ = now + time;
    ++ejections_;
    failure_share_ = 0.0;
}

void engine_health::tick(time_point now)
{
    if (state_ == health_state::ejected && now >= ejected_until_)
        state_ = health_state::probing;
}

std::size_t engine_health::limit(std::size_t max_running, time_point now,
                                 const health_settings& settings) const
{
    if (state_ == health_state::ejected)
        return 0;
    if (state_ == health_state::probing)
        return 1;
    if (restarted_at_ == time_point::min() ||
        now - restarted_at_ >= settings.slow_start)
        return max_running;
    const double passed =
        to_seconds(now - restarted_at_) / to_seconds(settings.slow_start);
    const double share =
        settings.slow_start_share + (1.0 - settings.slow_start_share) * passed;
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(share * double(max_running)));
}

} // namespace lovagegate::pool
