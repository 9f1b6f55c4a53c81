#include "lovagegate/admission/flow_shares.hpp"

#include <algorithm>
#include <cmath>

namespace lovagegate::admission {

namespace {

/// Time over which the usual demand of a flow is averaged. A surge of half a
/// minute must not become usual.
constexpr duration usual_demand_time = 300s;
/// Time after its first request in which the usual demand of a flow is learnt.
constexpr duration learning_time = 10s;
/// Time over which recent service is averaged: enough requests of a small
/// workspace, and short enough to follow a surge.
constexpr duration recent_time = 4s;
/// Flows that are served less often than this share of all are preferred. No
/// flow may get less than a quarter of the share of all; the measure lags.
constexpr double starved_share = 0.4;
/// With fewer recent requests, the share served says nothing.
constexpr double min_recent_requests = 3;
/// Rates of a flow that has just begun say nothing.
constexpr double min_age_seconds = 1;
/// Bounds the memory for flows that callers make up.
constexpr std::size_t max_flows = 4096;

double kept(duration age, duration decay_time)
{
    return std::exp(-to_seconds(age) / to_seconds(decay_time));
}

} // namespace

flow_shares::flow_record flow_shares::at(const flow_record& f, time_point now)
{
    flow_record out = f;
    const duration age = now - f.last;
    out.usual_rate *= kept(age, usual_demand_time);
    out.recent *= kept(age, recent_time);
    out.served *= kept(age, recent_time);
    out.last = now;
    return out;
}

void flow_shares::add_arrival(flow_record& f, time_point now)
{
    if (f.first == time_point{})
        f.first = f.last = now;
    f = at(f, now);
    f.recent += 1;
    if (now - f.first < learning_time) {
        f.learnt += 1;
        return;
    }
    if (f.usual_rate == 0)
        f.usual_rate = f.learnt / to_seconds(learning_time);
    f.usual_rate += 1 / to_seconds(usual_demand_time);
}

void flow_shares::add_served(flow_record& f, time_point now)
{
    f = at(f, now);
    f.served += 1;
}

void flow_shares::on_arrival(std::uint64_t flow, time_point now)
{
    if (flows_.size() >= max_flows)
        expire(now);
    add_arrival(flows_[flow], now);
    add_arrival(all_, now);
}

void flow_shares::on_served(std::uint64_t flow, time_point now)
{
    const auto it = flows_.find(flow);
    if (it == flows_.end())
        return;
    add_served(it->second, now);
    add_served(all_, now);
}

double flow_shares::use_of_usual(std::uint64_t flow, time_point now) const
{
    const auto it = flows_.find(flow);
    if (it == flows_.end())
        return 0;
    const flow_record f = at(it->second, now);
    const double age = std::max(to_seconds(now - f.first), min_age_seconds);
    const double usual_rate =
        f.usual_rate > 0 ? f.usual_rate
                         : f.learnt / std::min(age, to_seconds(learning_time));
    // The recent average of a young flow covers its age only.
    const double recent_seconds = to_seconds(recent_time);
    const double served_rate =
        f.served / (recent_seconds * (1 - std::exp(-age / recent_seconds)));
    return usual_rate > 0 ? served_rate / usual_rate : 0;
}

double flow_shares::served_share(const flow_record& f)
{
    return f.recent < min_recent_requests ? 1
                                          : std::min(1.0, f.served / f.recent);
}

double flow_shares::served_share(std::uint64_t flow, time_point now) const
{
    const auto it = flows_.find(flow);
    return it == flows_.end() ? 1 : served_share(at(it->second, now));
}

double flow_shares::served_share_of_all(time_point now) const
{
    return served_share(at(all_, now));
}

bool flow_shares::is_starved(std::uint64_t flow, time_point now) const
{
    return served_share(flow, now) < starved_share * served_share_of_all(now);
}

void flow_shares::expire(time_point now)
{
    std::erase_if(flows_, [&](const auto& f) {
        return now - f.second.last > usual_demand_time;
    });
    if (flows_.size() < max_flows)
        return;
    std::erase_if(flows_, [&](const auto& f) {
        return now - f.second.last > recent_time;
    });
}

} // namespace lovagegate::admission
