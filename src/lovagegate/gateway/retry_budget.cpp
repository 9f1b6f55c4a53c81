#include "lovagegate/gateway/retry_budget.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lovagegate::gateway {

namespace {

/// Share of the limit that is used. Instances count separately, and a request
/// and its retries may fall into different windows.
constexpr double usable_budget_share = 0.8;
/// Share of the allowance, in whole retries, that only begun streams may use: a
/// caller can retry a request that failed without an answer.
constexpr double begun_stream_budget_share = 0.2;
/// Time for which instances that have become silent still share the allowance.
constexpr duration instance_count_ttl = 60s;

} // namespace

retry_budget::retry_budget(double ratio, double slack, duration window,
                           time_point slack_start)
    : ratio_(ratio), slack_(slack),
      bucket_(std::max<duration>(window / buckets, 1ms)),
      slack_start_(slack_start)
{
}

double retry_budget::own_slack_share(std::size_t instances, time_point now)
{
    if (instances >= max_instances_ ||
        now - max_instances_at_ > instance_count_ttl) {
        max_instances_ = std::max<std::size_t>(1, instances);
        max_instances_at_ = now;
    }
    return now < slack_start_ ? 0
                              : slack_ / static_cast<double>(max_instances_);
}

retry_budget::usage& retry_budget::advance(std::string_view service,
                                           time_point now)
{
    auto it = services_.find(service);
    if (it == services_.end())
        it = services_.emplace(std::string(service), usage{}).first;
    usage& u = it->second;
    const std::int64_t current = now.time_since_epoch() / bucket_;
    const auto steps = std::min<std::int64_t>(current - u.newest, buckets);
    for (std::int64_t i = 0; i < steps; ++i) {
        const auto at = static_cast<std::size_t>(current - i) % buckets;
        u.requests[at] = 0;
        u.repeats[at] = 0;
    }
    u.newest = std::max(u.newest, current);
    return u;
}

void retry_budget::on_request(std::string_view service, time_point now)
{
    usage& u = advance(service, now);
    ++u.requests[static_cast<std::size_t>(u.newest) % buckets];
}

bool retry_budget::try_consume(std::string_view service, std::size_t instances,
                               time_point now, retry_of kind)
{
    usage& u = advance(service, now);
    const double requests =
        std::accumulate(u.requests.begin(), u.requests.end(), 0.0);
    const double repeats =
        std::accumulate(u.repeats.begin(), u.repeats.end(), 0.0);
    const double allowed =
        usable_budget_share *
        (ratio_ * requests + own_slack_share(instances, now));
    const double reserved =
        kind == retry_of::begun_stream
            ? 0
            : std::floor(allowed * begun_stream_budget_share);
    if (repeats + 1 > allowed - reserved)
        return false;
    ++u.repeats[static_cast<std::size_t>(u.newest) % buckets];
    return true;
}

} // namespace lovagegate::gateway
