#include "lovagegate/node/from_settings.hpp"

#include <algorithm>

namespace lovagegate::node {
namespace {

/// Renewals within one ttl, so that two of them may be lost.
constexpr int renewals_per_ttl = 3;
/// Repeats of a lease request within the send window, so that a grant is never
/// older than the window when it comes.
constexpr int repeats_per_window = 3;
/// List reads within the time for which a list counts as fresh.
constexpr int reads_per_fresh = 4;

void apply_pool(const settings::pool_settings& from, node_settings& to)
{
    to.pool_size = from.pool_size;
    to.report_interval = from.report_interval;
    to.pool.lease.ttl = from.lease_ttl;
    to.pool.lease.send_window = from.send_window;
    to.pool.lease.report_lag = from.report_lag;
    to.pool.queue.limit = from.queue_limit;
    to.pool.queue.batch_hold = from.batch_hold;
    const double weights = from.stall_weight + from.batch_weight;
    to.pool.load.packing = weights > 0.0 ? from.batch_weight / weights : 0.0;
    to.routing.lease_repeat = std::min(to.routing.lease_repeat,
                                       from.send_window / repeats_per_window);
    to.routing.renewal_interval = from.lease_ttl / renewals_per_ttl;
}

void apply_platform(const settings::platform_settings& from, node_settings& to)
{
    to.gossip.watch_wait = from.watch_wait;
    to.list.least_wait = from.list_fresh / reads_per_fresh;
    to.pool.lease.list_lag = from.list_lag;
    to.pool.lease.list_fresh = from.list_fresh;
    to.membership.list_lag = from.list_lag;
    to.membership.list_fresh = from.list_fresh;
    to.membership.clock_skew = from.clock_skew;
}

void apply_limits(const settings::limit_settings& from, node_settings& to)
{
    to.routing.deadlines = from.deadline;
    to.routing.retry_share = from.retry_share;
    to.routing.max_attempts = static_cast<std::uint32_t>(from.retries) + 1;
}

} // namespace

node_settings from_settings(const settings::settings& checked)
{
    node_settings s;
    apply_pool(checked.pool, s);
    apply_platform(checked.platform, s);
    apply_limits(checked.limits, s);
    s.membership.heartbeat_interval = checked.peers.heartbeat;
    s.pool.lease.first_listed_wait =
        s.membership.heard_window + checked.peers.heartbeat;
    s.membership.random_fanout =
        std::max<std::size_t>(checked.peers.fanout, 2) -
        s.membership.ring_fanout;
    s.quarantine.crashes =
        static_cast<std::uint32_t>(checked.quarantine.crash_limit);
    s.quarantine.keep = checked.quarantine.memory;
    return s;
}

} // namespace lovagegate::node
