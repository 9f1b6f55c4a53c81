#include "lovagegate/pool/load_rate.hpp"

#include <algorithm>

namespace lovagegate::pool {

namespace {

/// Waiting time covered by one sample of the average.
constexpr duration sample_duration = 2s;
constexpr double sample_weight = 0.3;
constexpr double min_rate = 0.05;
/// A rate measured longer ago says nothing about the store's present rate.
constexpr duration max_sample_age = 10s;

} // namespace

void load_rate::advance(time_point now)
{
    if (now - last_ > max_sample_age) {
        rate_ = std::max(rate_, initial_);
        waited_ = {};
        permits_ = 0;
    } else if (wanted_) {
        waited_ += now - last_;
    }
    last_ = now;
    // Without any permit the waiting time measures an outage, not the store's
    // rate.
    if (permits_ == 0 && waited_ >= max_sample_age)
        waited_ = {};
    if (waited_ < sample_duration || permits_ == 0)
        return;
    const double sample = double(permits_) / to_seconds(waited_);
    rate_ = std::max(min_rate, rate_ + sample_weight * (sample - rate_));
    waited_ = {};
    permits_ = 0;
}

void load_rate::set_wanted(bool wanted, time_point now)
{
    advance(now);
    wanted_ = wanted;
}

void load_rate::on_permits(std::size_t count, time_point now)
{
    permits_ += count;
    advance(now);
}

} // namespace lovagegate::pool
