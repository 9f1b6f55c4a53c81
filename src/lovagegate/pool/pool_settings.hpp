#ifndef LOVAGEGATE_POOL_POOL_SETTINGS_HPP
#define LOVAGEGATE_POOL_POOL_SETTINGS_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lovagegate::pool {

/// How much each priority counts, by the value of `priority`.
using priority_weights = std::array<double, priority_count>;

struct lease_settings
{
    duration ttl = 6s;         ///< a lease ends unless it is renewed
    duration send_window = 2s; ///< a request is sent within it or asks again
    duration list_lag = 10s;   ///< the published list is at most this old
    duration list_fresh = 5s;  ///< for evictions the list was read within it
    /// Time in which an instance notices that it hears less than all others:
    /// the heard window of membership and a heartbeat.
    duration first_listed_wait = 11s;
    duration report_lag = 2s; ///< a report is at most this old on arrival
    /// Age of the report that proves an adapter idle during a partition.
    duration max_idle_report_age = 250ms;
};

struct demand_settings
{
    /// Requests of the pool after which a count has fallen to a half, for
    /// each slot of the pool.
    double half_life_per_slot = 40.0;
    double shift_retained_share =
        0.02; ///< share of the counts kept after a shift
    /// A shift is looked for that divides the hit share by this.
    double shift_ratio = 3.0;
    /// Evidence for a shift, as a log likelihood ratio, that is acted upon.
    double shift_threshold = 8.0;
    priority_weights weight{1.0, 1.0, 1.0};
};

struct queue_settings
{
    std::size_t limit = 2000; ///< waiting requests of the pool
    double batch_share = 0.6; ///< most of the limit that batch work takes
    std::size_t min_batch_group = 4; ///< batch requests that deserve a load
    duration batch_hold = 60s;       ///< after it they get one anyway
    /// Weight of a waiting request when loads are ordered.
    priority_weights weight{8.0, 4.0, 1.0};
    /// Wait in seconds after which the weight has doubled.
    priority_weights doubling_seconds{2.0, 5.0, 60.0};
    double default_loads_per_second = 2.0; ///< until a rate was measured
};

struct load_settings
{
    duration timeout = 20s;           ///< of an order; then its end is unknown
    duration order_window = 500ms;    ///< an order is sent within it or dropped
    duration initial_backoff = 500ms; ///< after the first failed load
    duration max_backoff = 30s;
    std::uint32_t max_failures = 5; ///< in a row, then waiters are refused
    /// 0: even load on the engines; above: loads go where more is running,
    /// and batch work waits for company. The weight is in expected uses.
    double packing = 0.0;
    std::size_t min_running_to_join =
        1;                        ///< running requests that batch work joins
    double copy_threshold = 0.75; ///< share of max_running that asks for a copy
    /// A prefetched adapter is worth this much more than its victim.
    double prefetch_gain = 3.0;
    std::size_t max_wants_per_request = 32;  ///< in one permit request
    duration permit_request_interval = 10ms; ///< between permit requests
};

struct health_settings
{
    duration slow_start = 5s; ///< an engine that restarted is filled over it
    double slow_start_share = 0.25; ///< of max_running at the start
    double failure_share = 0.5;     ///< recent failures that eject an engine
    double slow_factor = 4.0;       ///< times the pool's first-token time
    duration initial_ejection = 5s; ///< the first; doubles each time
    duration max_ejection = 60s;
    double max_ejected_share = 0.34; ///< share of the pool
};

/// Settings of a pool's owner.
struct pool_settings
{
    lease_settings lease;
    demand_settings demand;
    queue_settings queue;
    load_settings load;
    health_settings health;
};

} // namespace lovagegate::pool

#endif
