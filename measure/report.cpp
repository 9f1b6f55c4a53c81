#include "measure/report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace lovagegate::measure {

namespace {

using nlohmann::ordered_json;

constexpr duration timeline_step = 10s;

/// Rounds, so that a line stays readable.
double rounded(double x)
{
    return std::round(x * 1e4) / 1e4;
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0.0 : rounded(double(part) / double(whole));
}

double quantile_ms(std::vector<duration>& values, double q)
{
    if (values.empty())
        return 0.0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(q * double(values.size())));
    const std::size_t i = rank == 0 ? 0 : rank - 1;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(i);
    std::ranges::nth_element(values, at);
    return rounded(to_ms(*at));
}

/// What a refused request waited counts as the whole of its time.
duration stall_of(const request& r, const request_result& result)
{
    if (!result.stalled)
        return duration::zero();
    if (result.stall > duration::zero())
        return result.stall;
    return r.deadline - r.arrival;
}

struct priority_sums
{
    std::size_t requests = 0;
    std::size_t stalled = 0;
    std::size_t bound = 0;
    std::size_t missed = 0; ///< no first token before the deadline
    std::vector<duration> stalls;
    std::vector<duration> first_tokens;
};

struct sums
{
    std::size_t requests = 0;
    std::size_t completed = 0;
    std::size_t good = 0;
    std::size_t unknown = 0;
    std::size_t doubled = 0;
    std::size_t wrong = 0;
    std::map<std::string, std::size_t> not_run;
    std::array<priority_sums, priority_count> by_priority;
};

void add(sums& all, const request& r, const request_result& result, bool bound)
{
    priority_sums& p = all.by_priority[static_cast<std::size_t>(r.importance)];
    ++all.requests;
    ++p.requests;
    const bool in_time = result.first_token > duration::zero() &&
                         r.arrival + result.first_token <= r.deadline;
    all.completed += result.outcome == request_outcome::completed ? 1 : 0;
    all.good += in_time ? 1 : 0;
    all.unknown += result.ended ? 0 : 1;
    all.doubled += result.runs > 1 ? 1 : 0;
    all.wrong += result.wrong_adapter ? 1 : 0;
    if (result.ended && result.outcome == request_outcome::not_run)
        ++all.not_run[std::string(to_string(result.reason))];
    p.stalled += result.stalled ? 1 : 0;
    p.bound += bound ? 1 : 0;
    p.missed += in_time ? 0 : 1;
    p.stalls.push_back(stall_of(r, result));
    if (result.first_token > duration::zero())
        p.first_tokens.push_back(result.first_token);
}

ordered_json describe(priority_sums& p)
{
    ordered_json j;
    j["requests"] = p.requests;
    j["load_stall_share"] = share(p.stalled, p.requests);
    j["bound_stall_share"] = share(p.bound, p.requests);
    j["load_stall_ms"] = {{"p50", quantile_ms(p.stalls, 0.5)},
                          {"p95", quantile_ms(p.stalls, 0.95)},
                          {"p99", quantile_ms(p.stalls, 0.99)}};
    j["first_token_ms_p95"] = quantile_ms(p.first_tokens, 0.95);
    j["deadline_missed"] = p.missed;
    return j;
}

} // namespace

ordered_json make_report(const report_head& head, const deployment& d,
                         const scenario& s, std::span<const request> requests,
                         const run_results& results,
                         const std::vector<bool>& bound)
{
    sums all;
    const time_point begin = time_point{} + d.warm_up;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (requests[i].arrival >= begin)
            add(all, requests[i], results.requests[i], bound[i]);
    }
    ordered_json j;
    j["policy"] = head.policy;
    j["deployment"] = d.name;
    j["scenario"] = s.name;
    j["seed"] = head.seed;
    j["zipf"] = d.zipf;
    j["rate"] = d.rate;
    j["slots"] = d.slots;
    j["pool_size"] = d.pool_size;
    j["requests"] = all.requests;
    j["completed"] = all.completed;
    j["good"] = all.good;
    j["not_run"] = all.not_run;
    j["unknown"] = all.unknown;
    j["doubled"] = all.doubled;
    j["wrong_adapter"] = all.wrong;
    j["evicted_in_use"] = results.evicted_in_use;
    j["loads"] = results.loads;
    j["most_loads_in_10s"] = results.most_loads_in_10s;
    j["batch_fill"] = rounded(results.batch_fill);
    for (std::size_t i = 0; i < priority_count; ++i)
        j[std::string(to_string(static_cast<priority>(i)))] =
            describe(all.by_priority[i]);
    return j;
}

std::vector<ordered_json> make_timeline(const report_head& head,
                                        const deployment& d, const scenario& s,
                                        std::span<const request> requests,
                                        const run_results& results,
                                        const std::vector<bool>& bound)
{
    struct step
    {
        std::size_t requests = 0;
        std::size_t stalled = 0;
        std::size_t bound = 0;
    };
    std::map<std::int64_t, step> steps;
    const time_point begin = time_point{} + d.warm_up;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const request& r = requests[i];
        if (r.arrival < begin)
            continue;
        step& at = steps[(r.arrival - begin) / timeline_step];
        ++at.requests;
        at.stalled += results.requests[i].stalled ? 1 : 0;
        at.bound += bound[i] ? 1 : 0;
    }
    std::vector<ordered_json> out;
    for (const auto& [index, at] : steps) {
        ordered_json j;
        j["timeline"] = head.policy;
        j["deployment"] = d.name;
        j["scenario"] = s.name;
        j["seconds"] = index * (timeline_step / 1s);
        j["requests"] = at.requests;
        j["load_stall_share"] = share(at.stalled, at.requests);
        j["bound_stall_share"] = share(at.bound, at.requests);
        out.push_back(std::move(j));
    }
    return out;
}

} // namespace lovagegate::measure
