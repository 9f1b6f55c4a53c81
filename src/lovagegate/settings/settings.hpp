#ifndef LOVAGEGATE_SETTINGS_SETTINGS_HPP
#define LOVAGEGATE_SETTINGS_SETTINGS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

/// Settings of one instance, read from an INI file that is checked as a whole.
namespace lovagegate::settings {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;

/// Identity and listening addresses of the instance: [instance].
struct instance_settings
{
    /// Name of the instance in the platform's instance list.
    instance_id name;
    /// Failure domain that the instance runs in.
    lovagegate::failure_domain failure_domain;
    /// Address for callers, operators and readers of metrics.
    endpoint listen;
    /// Address for other instances.
    endpoint peer_listen;
};

/// The platform's services, which an instance only reads: [platform].
struct platform_settings
{
    /// Configuration service that stores the change tickets.
    endpoint config_address;
    /// Service that lists the instances.
    endpoint list_address;
    /// Longest time that one watch call waits for a change.
    duration watch_wait = 55s;
    /// Maximum delay until the instance list shows a change.
    duration list_lag = 10s;
    /// Maximum age of a read of the instance list that evictions may rely on.
    duration list_fresh = 15s;
    /// Maximum difference between the wall clocks of two machines.
    duration clock_skew = 500ms;
};

/// Traffic between instances: [peers].
struct peer_settings
{
    /// File with the key that all instances share.
    std::string key_file;
    /// Time between two heartbeats.
    duration heartbeat = 1s;
    /// Number of instances that each heartbeat is sent to.
    std::size_t fanout = 3;
};

/// Placement, leases, loads and queues: [pool].
struct pool_settings
{
    /// Maximum number of engines of a pool, which has one owner.
    std::size_t pool_size = 16;
    /// Time after which a lease expires unless it is renewed.
    duration lease_ttl = 6s;
    /// Time from the lease request within which the caller's request must be
    /// sent.
    duration send_window = 2s;
    /// Maximum age of the state in an engine's load report.
    duration report_lag = 2s;
    /// Time between two reads of an engine's load report.
    duration report_interval = 500ms;
    /// Adapter slots of an engine if the ticket does not state them.
    std::size_t engine_slots = 4;
    /// Maximum number of requests queued at the owner of a pool.
    std::size_t queue_limit = 512;
    /// Weight of load stalls in the choice of the next load.
    double stall_weight = 1.0;
    /// Weight of batch efficiency in the choice of the next load.
    double batch_weight = 1.0;
    /// Maximum delay of batch requests to group them by adapter.
    duration batch_hold = 30s;
};

/// Limits on callers, buffers and retries: [limits].
struct limit_settings
{
    /// Maximum number of open requests of a service if the ticket states none.
    std::size_t service_open_requests = 256;
    /// Maximum number of simultaneous caller connections.
    std::size_t connections = 1024;
    /// Maximum size of request line and headers of one request.
    std::size_t header_bytes = 16 * kibibyte;
    /// Maximum size of the body of one request.
    std::size_t body_bytes = mebibyte;
    /// Maximum number of response bytes buffered for a slow caller.
    std::size_t stream_buffer = 64 * kibibyte;
    /// Time within which a caller must send a whole request.
    duration request_timeout = 10s;
    /// Time without a byte from a target after which its response counts as
    /// lost.
    duration target_timeout = 60s;
    /// Maximum ratio of retries to first attempts.
    double retry_share = 0.1;
    /// Maximum number of retries of one request.
    std::size_t retries = 2;
    /// Default deadlines of requests, by priority.
    std::array<duration, priority_count> deadline = {10s, 30s, 8h};
    /// Time that a graceful shutdown waits for requests in flight.
    duration drain_deadline = 60s;
};

/// Requests that crash targets: [quarantine].
struct quarantine_settings
{
    /// Number of crashes after which a request is rejected, at most 2.
    std::size_t crash_limit = 2;
    /// Time for which a suspected request is remembered.
    duration memory = 1h;
};

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Log lines on standard error: [log].
struct log_settings
{
    /// Lowest level that is written.
    log_level level = log_level::info;
};

/// All settings of one instance.
struct settings
{
    instance_settings instance;
    platform_settings platform;
    peer_settings peers;
    pool_settings pool;
    limit_settings limits;
    quarantine_settings quarantine;
    log_settings log;
};

} // namespace lovagegate::settings

#endif
