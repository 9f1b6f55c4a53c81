#ifndef LOVAGEGATE_POOL_POOL_SETTINGS_HPP
#define LOVAGEGATE_POOL_POOL_SETTINGS_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace lovagegate::pool {

/// Weights of the priority classes, indexed by the value of `priority`.
using priority_weights = std::array<double, priority_count>;

struct lease_settings
{
    duration ttl = 6s;         ///< lifetime of a lease that is not renewed
    duration send_window = 2s; ///< a request is sent within it after the grant,
                               ///< or needs a new lease
    duration list_lag = 10s;   ///< maximum age of the published list
    duration list_fresh =
        5s; ///< maximum time since the list was read, for evictions
    /// Time within which an instance detects that it does not receive
    /// heartbeats from all others: the heartbeat window of membership plus one
    /// heartbeat.
    duration first_listed_wait = 11s;
    duration report_lag = 2s; ///< maximum age of a report on arrival
    /// Maximum age of the report that proves an adapter idle during a
    /// partition.
    duration max_idle_report_age = 250ms;
};

struct demand_settings
{
    /// Half-life of the counts, in requests of the pool for each adapter slot.
    double half_life_per_slot = 40.0;
    double shift_retained_share =
        0.02; ///< share of the counts kept after a shift
    /// Factor by which the hit share drops in the shifts to detect.
    double shift_ratio = 3.0;
    /// Log likelihood ratio at which a shift is detected.
    double shift_threshold = 8.0;
    priority_weights weight{1.0, 1.0, 1.0};
};

struct queue_settings
{
    std::size_t limit =
        2000; ///< maximum number of waiting requests in the pool
    double batch_share = 0.6; ///< maximum share of the limit for batch requests
    std::size_t min_batch_group =
        4; ///< waiting batch requests that justify a load
    duration batch_hold =
        60s; ///< wait after which a smaller batch group gets a load
    /// Weight of a waiting request in the score of a load.
    priority_weights weight{8.0, 4.0, 1.0};
    /// Wait in seconds after which the weight has doubled.
    priority_weights doubling_seconds{2.0, 5.0, 60.0};
    double default_loads_per_second =
        2.0; ///< used until a rate has been measured
};

struct load_settings
{
    duration timeout = 20s; ///< of an order; afterwards its result is unknown
    duration order_window = 500ms;    ///< an order is sent within it or dropped
    duration initial_backoff = 500ms; ///< delay after the first failed load
    duration max_backoff = 30s;
    std::uint32_t max_failures =
        5; ///< in a row; then the waiting requests are refused
    /// 0 balances load over the engines. Above 0, loads prefer engines that
    /// already run requests, and batch work waits until it can share an engine.
    /// In expected uses.
    double packing = 0.0;
    std::size_t min_running_to_join =
        1; ///< running requests on an engine that batch work may join
    double copy_threshold =
        0.75; ///< share of max_running above which another copy is loaded
    /// Factor by which the expected uses of a prefetched adapter must exceed
    /// those of its victim.
    double prefetch_gain = 3.0;
    std::size_t max_wants_per_request =
        32; ///< maximum number of loads in one permit request
    duration permit_request_interval =
        10ms; ///< minimum time between permit requests
};

struct health_settings
{
    duration slow_start =
        5s; ///< time over which the lease limit of a restarted engine rises
    double slow_start_share =
        0.25; ///< share of max_running right after a restart
    double failure_share =
        0.5; ///< share of recent failures that ejects an engine
    double slow_factor = 4.0; ///< multiple of the pool's median first-token
                              ///< time that ejects an engine
    duration initial_ejection = 5s; ///< doubles with each further ejection
    duration max_ejection = 60s;
    double max_ejected_share = 0.34; ///< maximum share of the pool's engines
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
