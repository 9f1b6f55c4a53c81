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

/// Settings of one instance: read from an INI file, checked whole.
namespace lovagegate::settings {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;

/// Who this instance is and where it listens: [instance].
struct instance_settings
{
    /// Name of the instance in the platform's list.
    instance_id name;
    /// Failure domain that the instance runs in.
    lovagegate::failure_domain failure_domain;
    /// Where callers, operators and metrics readers connect.
    endpoint listen;
    /// Where other instances connect.
    endpoint peer_listen;
};

/// The platform's services, which are only read: [platform].
struct platform_settings
{
    /// Configuration service that holds the change tickets.
    endpoint config_address;
    /// Service that lists the instances.
    endpoint list_address;
    /// Longest time that one watch call waits for a change.
    duration watch_wait = 55s;
    /// Bound on how late the instance list shows a change.
    duration list_lag = 10s;
    /// Age up to which a read of the instance list allows evictions.
    duration list_fresh = 15s;
    /// Bound on the difference between the wall clocks of two machines.
    duration clock_skew = 500ms;
};

/// Traffic between instances: [peers].
struct peer_settings
{
    /// File that holds the key shared by all instances.
    std::string key_file;
    /// Time between two heartbeats.
    duration heartbeat = 1s;
    /// Instances that each heartbeat goes to.
    std::size_t fanout = 3;
};

/// Placement, leases, loads and queues: [pool].
struct pool_settings
{
    /// Most engines that share one owner.
    std::size_t pool_size = 16;
    /// Time after which a lease ends unless it is renewed.
    duration lease_ttl = 6s;
    /// Time from asking for a lease within which the request must be sent.
    duration send_window = 2s;
    /// Bound on the age of what an engine reports.
    duration report_lag = 2s;
    /// Time between two reads of an engine's report.
    duration report_interval = 500ms;
    /// Adapters that an engine holds when the ticket does not say.
    std::size_t engine_slots = 4;
    /// Requests that may wait at the owner of a pool.
    std::size_t queue_limit = 512;
    /// Weight of load stalls when the next load is chosen.
    double stall_weight = 1.0;
    /// Weight of full batches when the next load is chosen.
    double batch_weight = 1.0;
    /// Longest time that batch work is held back to group it by adapter.
    duration batch_hold = 30s;
};

/// Bounds on callers, buffers and retries: [limits].
struct limit_settings
{
    /// Open requests of a service when the ticket does not say.
    std::size_t service_open_requests = 256;
    /// Connections of callers at one time.
    std::size_t connections = 1024;
    /// Bytes of request line and headers of one request.
    std::size_t header_bytes = 16 * kibibyte;
    /// Bytes of the body of one request.
    std::size_t body_bytes = mebibyte;
    /// Bytes of an answer that wait for a slow caller.
    std::size_t stream_buffer = 64 * kibibyte;
    /// Time within which a caller must send a whole request.
    duration request_timeout = 10s;
    /// Time without a byte from a target after which an answer is lost.
    duration target_timeout = 60s;
    /// Retries as a share of first tries.
    double retry_share = 0.1;
    /// Most retries of one request.
    std::size_t retries = 2;
    /// Deadlines of requests that state none, by priority.
    std::array<duration, priority_count> deadline = {10s, 30s, 8h};
    /// Time that a graceful shutdown gives to requests in flight.
    duration drain_deadline = 60s;
};

/// Requests that crash targets: [quarantine].
struct quarantine_settings
{
    /// Crashes after which a request is refused; never over two.
    std::size_t crash_limit = 2;
    /// Time that a suspected request is remembered.
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
    /// Least level that is written.
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
