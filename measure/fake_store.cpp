#include "measure/fake_store.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::measure {

fake_store::fake_store(event_queue& clock, const deployment& d,
                       const scenario& s, std::uint64_t seed)
    : clock_(clock), deployment_(d), scenario_(s), random_(seed ^ 0x5704e5U),
      tokens_(double(d.store.at_full_speed))
{
}

void fake_store::count_asked()
{
    const time_point now = clock_.now();
    asked_.push_back(now);
    while (now - asked_.front() >= 10s)
        asked_.pop_front();
    most_in_window_ = std::max(most_in_window_, asked_.size());
}

void fake_store::load(finished f)
{
    count_asked();
    waiting_.push_back(std::move(f));
    pass_on();
}

void fake_store::pass_on()
{
    const double rate = deployment_.store.loads_per_second;
    const time_point now = clock_.now();
    tokens_ = std::min(double(deployment_.store.at_full_speed),
                       tokens_ + rate * to_seconds(now - refilled_));
    refilled_ = now;
    while (!waiting_.empty() && tokens_ >= 1.0) {
        tokens_ -= 1.0;
        start(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    if (waiting_.empty() || wake_up_set_)
        return;
    wake_up_set_ = true;
    const double missing = (1.0 - tokens_) / rate;
    clock_.after(duration(static_cast<duration::rep>(missing * 1e6) + 1),
                 [this] {
                     wake_up_set_ = false;
                     pass_on();
                 });
}

void fake_store::start(finished f)
{
    ++loads_;
    ++in_transit_;
    const double crowd =
        double(in_transit_) / double(deployment_.store.in_transit);
    const double factor = std::max(1.0, crowd) * scenario_.slow_store;
    const duration time(static_cast<duration::rep>(
        double(deployment_.load_time.count()) * factor));
    const bool ok = random_.uniform() >= scenario_.load_failures;
    clock_.after(time, [this, ok, f = std::move(f)] {
        --in_transit_;
        f(ok);
    });
}

} // namespace lovagegate::measure
