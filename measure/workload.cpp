#include "measure/workload.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace lovagegate::measure {

double generator::uniform()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return double(engine_() >> 11U) * scale;
}

double generator::exponential(double mean)
{
    return -mean * std::log(1.0 - uniform());
}

std::size_t generator::below(std::size_t n)
{
    return static_cast<std::size_t>(uniform() * double(n));
}

namespace {

/// Ranks by Zipf's law; which adapter has which rank may change.
class popularity
{
public:
    popularity(std::size_t adapters, double exponent, generator& random)
        : cumulative_(adapters), adapter_of_(adapters), random_(random)
    {
        double sum = 0.0;
        for (std::size_t i = 0; i < adapters; ++i) {
            sum += std::pow(double(i + 1), -exponent);
            cumulative_[i] = sum;
        }
        std::iota(adapter_of_.begin(), adapter_of_.end(), 0U);
        shuffle();
    }

    void shuffle()
    {
        for (std::size_t i = adapter_of_.size(); i > 1; --i)
            std::swap(adapter_of_[i - 1], adapter_of_[random_.below(i)]);
    }

    /// Two adapters exchange their ranks.
    void exchange()
    {
        const std::size_t a = random_.below(adapter_of_.size());
        const std::size_t b = random_.below(adapter_of_.size());
        std::swap(adapter_of_[a], adapter_of_[b]);
    }

    std::uint32_t draw()
    {
        const double x = random_.uniform() * cumulative_.back();
        const auto it = std::ranges::upper_bound(cumulative_, x);
        const auto rank = std::min<std::ptrdiff_t>(it - cumulative_.begin(),
                                                   std::ssize(cumulative_) - 1);
        return adapter_of_[static_cast<std::size_t>(rank)];
    }

private:
    std::vector<double> cumulative_;
    std::vector<std::uint32_t> adapter_of_;
    generator& random_;
};

priority draw_priority(const deployment& d, generator& random)
{
    double x = random.uniform();
    for (std::size_t i = 0; i + 1 < priority_count; ++i) {
        if (x < d.mix[i].share)
            return static_cast<priority>(i);
        x -= d.mix[i].share;
    }
    return priority::batch;
}

duration seconds(double s)
{
    return duration(static_cast<duration::rep>(s * 1e6));
}

} // namespace

std::vector<request> make_workload(const deployment& d, const scenario& s,
                                   std::uint64_t seed)
{
    generator random(seed);
    popularity ranks(d.adapters, d.zipf, random);
    const time_point event = time_point{} + d.warm_up + event_time;
    const time_point end = time_point{} + d.warm_up + d.length;
    const double exchanges_per_second =
        s.hourly_shift * double(d.adapters) / 2.0 / 3600.0;
    double exchanges = 0.0;
    bool shifted = false;
    std::vector<request> out;
    for (time_point now{}; now < end;) {
        const bool over = now >= event && now < event + overload_time;
        const double rate = d.rate * (over ? s.overload : 1.0);
        const duration gap = seconds(random.exponential(1.0 / rate));
        now += gap;
        exchanges += exchanges_per_second * to_seconds(gap);
        while (exchanges >= 1.0) {
            exchanges -= 1.0;
            ranks.exchange();
        }
        if (s.shift && !shifted && now >= event) {
            ranks.shuffle();
            shifted = true;
        }
        request r;
        r.arrival = now;
        r.gateway = random.below(d.gateways);
        r.adapter = ranks.draw();
        r.importance = draw_priority(d, random);
        const auto& mix = d.mix[static_cast<std::size_t>(r.importance)];
        r.tokens = 1U + static_cast<std::uint32_t>(
                            random.exponential(mix.tokens - 1.0));
        r.deadline = now + mix.deadline;
        out.push_back(r);
    }
    return out;
}

} // namespace lovagegate::measure
