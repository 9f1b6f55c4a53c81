#include "lovagegate/pool/demand_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace lovagegate::pool {

namespace {

/// Number of requests over which the hit share is averaged.
constexpr double hit_share_window = 1000.0;
/// Number of requests without shift detection at the start and after a shift or
/// a loss of adapters, so that the hit share can recover.
constexpr std::uint64_t detection_pause_requests = 200;
/// Minimum hit share for detection: below it a drop is not significant.
constexpr double min_hit_share = 0.05;

} // namespace

demand_estimator::demand_estimator(demand_settings settings)
    : settings_(settings), detection_paused_until_(detection_pause_requests)
{
}

void demand_estimator::set_slots(std::size_t slots)
{
    half_life_ = std::max(64.0, settings_.half_life_per_slot *
                                    static_cast<double>(slots));
}

double demand_estimator::decayed_count(const record& r) const
{
    const double age = static_cast<double>(requests_ - r.counted_at);
    const double kept = r.shifts == shifts_
                            ? 1.0
                            : std::pow(settings_.shift_retained_share,
                                       double(shifts_ - r.shifts));
    return r.count * std::exp2(-age / half_life_) * kept;
}

double demand_estimator::demand(adapter_key adapter) const
{
    return adapter < records_.size() ? decayed_count(records_[adapter]) : 0.0;
}

double demand_estimator::expected(adapter_key adapter, double requests) const
{
    // An adapter that gets every request has a decayed count of half_life / ln
    // 2.
    return demand(adapter) * requests * std::numbers::ln2 / half_life_;
}

bool demand_estimator::on_request(adapter_key adapter, priority importance,
                                  bool hit)
{
    ++requests_;
    const bool shifted = detect_shift(hit);
    if (shifted)
        ++shifts_;
    if (adapter >= records_.size())
        records_.resize(adapter + 1U);
    record& r = records_[adapter];
    const double weight =
        settings_.weight[static_cast<std::size_t>(importance)];
    r = {decayed_count(r) + weight, requests_, shifts_};
    return shifted;
}

void demand_estimator::on_residency_lost() noexcept
{
    detection_paused_until_ = requests_ + detection_pause_requests;
    cusum_ = 0.0;
}

/// Detects a popularity shift by Page's cumulative sum test (1954) of the usual
/// hit share p against p / shift_ratio. For a given rate of false alarms the
/// test finds a lasting drop in the fewest requests.
bool demand_estimator::detect_shift(bool hit)
{
    const double n = std::min(hit_share_window,
                              double(std::max<std::uint64_t>(1, requests_)));
    const double p = hit_share_;
    hit_share_ += ((hit ? 1.0 : 0.0) - hit_share_) / n;
    if (requests_ < detection_paused_until_ || p < min_hit_share ||
        p > 1.0 - min_hit_share)
        return false;
    const double low = p / settings_.shift_ratio;
    cusum_ += hit ? std::log(low / p) : std::log((1.0 - low) / (1.0 - p));
    cusum_ = std::max(0.0, cusum_);
    if (cusum_ < settings_.shift_threshold)
        return false;
    on_residency_lost();
    return true;
}

} // namespace lovagegate::pool
