#include "measure/site.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::measure {

namespace {

/// Time after the last request in which requests may end; it covers the
/// longest time for which batch work is held back.
constexpr duration drain_time = 600s;

} // namespace

site::site(const deployment& d, const scenario& s,
           std::span<const request> requests, std::uint64_t seed)
    : deployment_(d), scenario_(s), requests_(requests),
      store_(clock_, d, s, seed)
{
    for (std::size_t i = 0; i < d.engines; ++i)
        engines_.push_back(std::make_unique<fake_engine>(clock_, store_, d));
    results_.requests.resize(requests.size());
    plan_events();
}

void site::plan_events()
{
    const time_point warm = time_point{} + deployment_.warm_up;
    clock_.at(warm, [this] {
        for (auto& e : engines_)
            e->reset_counters();
    });
    if (scenario_.restart)
        clock_.at(warm + event_time, [this] { engines_[0]->restart(); });
    if (!scenario_.domain_lost)
        return;
    clock_.at(warm + event_time, [this] {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            if (domain_of(i) == 0)
                engines_[i]->set_down(true);
        }
    });
}

bool site::resident(std::uint32_t adapter) const
{
    return std::ranges::any_of(engines_, [&](const auto& e) {
        return !e->down() && e->holds(adapter);
    });
}

void site::adapter_ready(std::size_t i)
{
    request_result& r = results_.requests[i];
    if (r.stalled && r.stall == duration::zero())
        r.stall = clock_.now() - requests_[i].arrival;
}

void site::not_run(std::size_t i, refusal reason)
{
    request_result& r = results_.requests[i];
    if (r.ended)
        return;
    r.ended = true;
    r.outcome = request_outcome::not_run;
    r.reason = reason;
}

void site::first_token(std::size_t i)
{
    request_result& r = results_.requests[i];
    if (r.first_token == duration::zero())
        r.first_token = clock_.now() - requests_[i].arrival;
}

void site::completed(std::size_t i)
{
    request_result& r = results_.requests[i];
    r.ended = true;
    r.outcome = request_outcome::completed;
}

run_results site::run()
{
    const time_point end =
        time_point{} + deployment_.warm_up + deployment_.length;
    clock_.run(end);
    std::uint64_t batch = 0;
    std::uint64_t steps = 0;
    for (const auto& e : engines_) {
        batch += e->batch_sum();
        steps += e->steps();
    }
    results_.batch_fill = steps == 0 ? 0.0
                                     : double(batch) / double(steps) /
                                           double(deployment_.speed.max_batch);
    clock_.run(end + drain_time);
    for (const auto& e : engines_)
        results_.evicted_in_use += e->evicted_in_use();
    results_.loads = store_.loads();
    results_.most_loads_in_10s = store_.most_in_window();
    return std::move(results_);
}

} // namespace lovagegate::measure
