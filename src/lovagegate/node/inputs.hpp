#ifndef LOVAGEGATE_NODE_INPUTS_HPP
#define LOVAGEGATE_NODE_INPUTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the tasks that own sockets tell the decision core.
namespace lovagegate::node {

/// A well-formed request. The front keeps its body under the same id.
struct caller_request
{
    local_id id = 0;        ///< chosen by the front, never reused
    service_id service;     ///< empty: found by adapter
    bool completion = true; ///< false: a call of a plain service
    std::string model;      ///< ADAPTER or ADAPTER@VERSION
    std::string method;     ///< of a plain call
    std::string path;       ///< of a plain call
    std::optional<priority> importance;
    std::optional<duration> deadline;
    std::optional<request_id> request; ///< chosen by the caller
    std::optional<wall_time> issued;
    fingerprint print = 0;
    std::uint64_t prefix = 0; ///< hash of the prompt's start; 0: none
};

/// The caller left; its answer is no longer wanted.
struct caller_gone
{
    local_id id = 0;
};

/// The target's first byte of the answer has been passed to the caller: from
/// now on the request cannot be tried again.
struct answer_started
{
    local_id id = 0;
    std::uint32_t attempt = 0;
};

/// How one attempt on a target ended.
enum class attempt_end : std::uint8_t
{
    completed,       ///< whole answer passed on
    connect_failed,  ///< provably nothing was sent
    not_run,         ///< the target's typed refusal
    adapter_missing, ///< the engine does not hold the adapter
    broken,          ///< the connection broke after something was sent
    timed_out,       ///< no answer in time after something was sent
    mismatched,      ///< the answer names another adapter or request
    cancelled,       ///< by cancel_attempt
    error_answer,    ///< a whole error answer, not yet passed on
};

struct attempt_ended
{
    local_id id = 0;
    std::uint32_t attempt = 0;
    attempt_end end = attempt_end::completed;
    duration first_token{};
    std::optional<protocol::stored_answer> answer; ///< if small enough to keep
};

/// A peer's message that passed authentication.
struct peer_message
{
    protocol::envelope envelope;
};

/// The connection to the peer could not be opened or was lost.
struct peer_lost
{
    instance_id peer;
};

struct adapter_load
{
    adapter_version adapter;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// What an engine says of itself.
struct engine_report
{
    target_id target;
    /// When the question was sent that this answers: a process that was paused
    /// may read an old answer from its socket. Epoch: asked just now.
    time_point asked{};
    incarnation start = 0;           ///< which run of the engine reports
    fencing_token highest_token = 0; ///< 0: the engine does not tell
    std::vector<adapter_load> resident;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// The engine could not be asked.
struct engine_unreachable
{
    target_id target;
};

enum class order_end : std::uint8_t
{
    done,
    failed,      ///< refused or failed, no change on the engine
    stale_token, ///< refused for its fencing token
    unknown,     ///< no answer: it may have been carried out
};

struct order_ended
{
    target_id target;
    local_id order = 0;
    order_end end = order_end::done;
    fencing_token highest_token = 0; ///< told with stale_token
};

struct listed_instance
{
    instance_id id;
    std::string address;
    std::uint16_t peer_port = 0;
    failure_domain domain;
    bool leaving = false;

    friend bool operator==(const listed_instance&,
                           const listed_instance&) = default;
};

/// The platform's list of instances.
struct instance_list
{
    std::uint64_t index = 0;
    /// When the question was sent that this answers: a process that was paused
    /// may read an old answer from its socket. Epoch: asked just now.
    instant asked{};
    std::vector<listed_instance> instances;
};

/// Tickets read from the configuration service, each a JSON text.
struct published_tickets
{
    std::uint64_t index = 0;
    std::vector<std::string> tickets;
};

enum class platform_part : std::uint8_t
{
    tickets,
    instances,
};

struct platform_unavailable
{
    platform_part part = platform_part::tickets;
};

/// Time has passed; sent at least every tick_interval.
struct tick
{
};

/// A graceful shutdown begins.
struct stop_requested
{
};

/// Longest time between two steps.
inline constexpr duration tick_interval = 50ms;

using input =
    std::variant<caller_request, caller_gone, answer_started, attempt_ended,
                 peer_message, peer_lost, engine_report, engine_unreachable,
                 order_ended, instance_list, published_tickets,
                 platform_unavailable, tick, stop_requested>;

} // namespace lovagegate::node

#endif
