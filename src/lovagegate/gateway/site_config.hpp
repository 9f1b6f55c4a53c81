#ifndef LOVAGEGATE_GATEWAY_SITE_CONFIG_HPP
#define LOVAGEGATE_GATEWAY_SITE_CONFIG_HPP

#include "lovagegate/access/key_digest.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration published by the operators and the state published by
/// targets, independent of the platform's format.
namespace lovagegate::gateway {

/// How often a request may run.
enum class repeat_rule : std::uint8_t
{
    idempotent,   ///< any number of times
    at_most_once, ///< once for each attempt of a caller
    stream        ///< once, unless the route allows streams to be resumed
};

/// A base model that engines of a service can hold.
struct model_spec
{
    std::string name;
    double weights_mb = 0;
    duration load_time{};
    double adapter_mb = 0;
};

/// Properties that all engines of a service share.
struct engine_spec
{
    std::uint32_t batch_slots = 0; ///< requests in one batch
    std::uint64_t kv_cache_tokens = 0;
    double weights_mb = 0;           ///< memory for base weights and adapters
    std::uint32_t adapter_slots = 0; ///< adapters that are resident or loading
    double store_loads_per_s =
        0; ///< loads of base models, all engines together
    std::vector<model_spec> models;
};

/// A group of interchangeable targets.
struct service_spec
{
    std::string name;
    std::uint32_t max_connections = 0; ///< to one target
    std::optional<engine_spec> engine; ///< absent for plain services
};

/// A service that receives a share of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// Handling of requests with one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string prefix;
    repeat_rule repeats = repeat_rule::at_most_once;
    duration timeout = 10s;
    duration latency_objective =
        1s;                   ///< to the complete answer or the first event
    duration max_event_gap{}; ///< of streams; zero if not declared
    std::uint32_t rank = 0;   ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;
    bool resumable = false;
    bool anonymous = false; ///< served without a key
    std::vector<weighted_service> services;
};

/// What the rate limit of a workspace counts.
enum class quota_unit : std::uint8_t
{
    requests,
    tokens ///< of prompts and answers
};

/// A group of callers that share keys, a priority and a rate limit.
struct workspace_spec
{
    std::string name;
    std::vector<access::key_digest> keys;
    std::optional<std::uint32_t> rank; ///< replaces the rank of routes
    quota_unit unit = quota_unit::requests;
    double plain_tokens = 1; ///< of a request without usable token counts
    double rate_per_s = 0;   ///< in the unit; 0: no limit
    double burst = 0;        ///< in the unit
};

/// Limits for what callers send.
struct caller_limits
{
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    duration head_timeout = 3s;
    duration idle_timeout = 15s;
};

/// One complete version of the operators' configuration.
struct site_config
{
    std::uint64_t version = 0; ///< a higher version replaces a lower one
    std::vector<route> routes;
    std::vector<service_spec> services;
    /// Without a value, callers need no key.
    std::optional<std::vector<workspace_spec>> workspaces;
    caller_limits limits;
};

/// A base model on an engine, with its adapters.
struct held_model
{
    std::string name;
    std::vector<std::string> adapters; ///< NAME@VERSION
};

/// State that a target has published about itself.
struct target_entry
{
    std::string id; ///< usually identifies one start of the target
    std::string service;
    settings::endpoint address;
    std::string failure_domain;
    std::int64_t started_ms =
        0; ///< Unix time; distinguishes starts with the same id
    /// Rises with each entry that the target writes after its start; 0 if the
    /// entry has none.
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    bool leaving = false;
    std::optional<duration> leaves_in;
    std::vector<held_model> models;
};

/// The newest version of an adapter.
struct adapter_release
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};

/// State of an engine according to its own report.
struct engine_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
    bool busy = false;
    std::vector<held_model> models;
    std::vector<std::string> in_transit; ///< MODEL/NAME@VERSION
    std::uint64_t sequence =
        0; ///< number of orders accepted since the engine's start
};

} // namespace lovagegate::gateway

#endif
