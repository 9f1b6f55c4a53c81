#include "lovagegate/node/from_settings.hpp"

#include <algorithm>

namespace lovagegate::node {
namespace {

/// A lease survives the loss of two consecutive renewals.
constexpr int renewals_per_ttl = 3;
/// Lease requests are repeated within the send window, so that a grant never
/// arrives after its window has passed.
constexpr int repeats_per_send_window = 3;
/// Reads of the instance list within the time for which it counts as fresh.
constexpr int reads_per_fresh_period = 4;

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
    to.routing.lease_retry_interval =
        std::min(to.routing.lease_retry_interval,
                 from.send_window / repeats_per_send_window);
    to.routing.renewal_interval = from.lease_ttl / renewals_per_ttl;
}

void apply_platform(const settings::platform_settings& from, node_settings& to)
{
    to.gossip.watch_wait = from.watch_wait;
    to.list.min_watch_wait = from.list_fresh / reads_per_fresh_period;
    to.pool.lease.list_lag = from.list_lag;
    to.pool.lease.list_fresh = from.list_fresh;
    to.membership.list_lag = from.list_lag;
    to.membership.list_fresh = from.list_fresh;
    to.membership.clock_skew = from.clock_skew;
}

void apply_limits(const settings::limit_settings& from, node_settings& to)
{
    to.routing.default_deadlines = from.deadline;
    to.routing.retry_budget_ratio = from.retry_share;
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
        s.membership.contact_timeout + checked.peers.heartbeat;
    s.membership.random_fanout =
        std::max<std::size_t>(checked.peers.fanout, 2) -
        s.membership.ring_fanout;
    s.quarantine.crash_threshold =
        static_cast<std::uint32_t>(checked.quarantine.crash_limit);
    s.quarantine.evidence_ttl = checked.quarantine.memory;
    return s;
}

} // namespace lovagegate::node
