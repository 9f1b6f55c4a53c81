#include "lovagegate/pool/demand_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace lovagegate::pool {

namespace {

/// The long average reaches over this many short windows.
constexpr double slow_windows = 16.0;
/// Short windows without detection after a shift or a loss.
constexpr double quiet_windows = 6.0;

} // namespace

demand_estimator::demand_estimator(demand_settings settings)
    : settings_(settings), quiet_until_(static_cast<std::uint64_t>(
                               settings.shift_window * quiet_windows))
{
}

void demand_estimator::set_slots(std::size_t slots)
{
    half_life_ = std::max(64.0, settings_.half_life_per_slot *
                                    static_cast<double>(slots));
}

double demand_estimator::aged(const record& r) const
{
    const double age = static_cast<double>(requests_ - r.at);
    const double kept =
        r.shifts == shifts_
            ? 1.0
            : std::pow(settings_.shift_keep, double(shifts_ - r.shifts));
    return r.count * std::exp2(-age / half_life_) * kept;
}

double demand_estimator::demand(adapter_key adapter) const
{
    return adapter < records_.size() ? aged(records_[adapter]) : 0.0;
}

double demand_estimator::expected(adapter_key adapter, double requests) const
{
    // A request of every round leaves an aged count of half_life / ln 2.
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
    r = {aged(r) + weight, requests_, shifts_};
    return shifted;
}

void demand_estimator::on_residency_lost() noexcept
{
    quiet_until_ = requests_ + static_cast<std::uint64_t>(
                                   settings_.shift_window * quiet_windows);
}

/// Compares a short with a long exponential average of the hit share; the
/// short one of a steady share has a variance of p (1 - p) / (2 n - 1).
bool demand_estimator::detect_shift(bool hit)
{
    const double n = settings_.shift_window;
    const double value = hit ? 1.0 : 0.0;
    fast_hits_ += (value - fast_hits_) / n;
    const double slow_n = std::min(
        n * slow_windows, double(std::max<std::uint64_t>(requests_, 1)));
    slow_hits_ += (value - slow_hits_) / slow_n;
    if (requests_ < quiet_until_)
        return false;
    const double p = slow_hits_;
    const double sigma = std::sqrt(p * (1.0 - p) / (2.0 * n - 1.0));
    if (p - fast_hits_ <= settings_.shift_sigmas * sigma || p < 0.05)
        return false;
    slow_hits_ = fast_hits_;
    on_residency_lost();
    return true;
}

} // namespace lovagegate::pool
