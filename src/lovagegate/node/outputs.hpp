#ifndef LOVAGEGATE_NODE_OUTPUTS_HPP
#define LOVAGEGATE_NODE_OUTPUTS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Outputs of the decision code, executed by the tasks that own the sockets.
namespace lovagegate::node {

/// Sends the request to a target.
struct start_attempt
{
    local_id id = 0;
    std::uint32_t attempt = 0;
    target_id target;
    std::string address;
    std::uint16_t port = 0;
    adapter_version adapter; ///< empty for a plain call
    request_id request;      ///< sent as X-Request-Id
    duration time_left{};
    /// Latest time at which the request may be written; after it the attempt
    /// ends as connect_failed. End of the lease's send window or deadline of
    /// the request, whichever is earlier.
    time_point not_after{};
    bool keep_answer = false; ///< return a small answer in attempt_ended
};

/// Cancels an attempt on a target.
struct cancel_attempt
{
    local_id id = 0;
    std::uint32_t attempt = 0;
};

/// Ends the request towards its caller, whether or not a target answered.
struct finish_request
{
    local_id id = 0;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    duration retry_after{};
    std::optional<protocol::stored_answer>
        answer; ///< stored from an earlier run of the same id
};

/// Sends a message to an instance.
struct send_message
{
    instance_id to;
    protocol::message body;
};

enum class order_kind : std::uint8_t
{
    load,
    unload,
};

/// Sends a load or unload order to an engine.
struct order_engine
{
    target_id target;
    std::string address;
    std::uint16_t port = 0;
    local_id order = 0;
    order_kind kind = order_kind::load;
    adapter_version adapter;
    fencing_token token = 0;
    /// Latest time at which the order may be sent; after it the order is
    /// dropped and ends as failed.
    time_point not_after{};
};

/// Requests a load report from an engine.
struct poll_engine
{
    target_id target;
    std::string address;
    std::uint16_t port = 0;
};

/// Reads from a platform service. Exactly one input follows: instance_list,
/// published_tickets or platform_unavailable.
struct read_platform
{
    platform_part part = platform_part::tickets;
    duration wait{}; ///< how long the service may wait for a change; 0: no wait
};

/// Event to be written to the log.
struct log_event
{
    std::string event; ///< snake_case name
    std::vector<std::pair<std::string, std::string>> fields;
};

/// All requests have ended after stop_requested; the process may exit.
struct drained
{
};

using output =
    std::variant<start_attempt, cancel_attempt, finish_request, send_message,
                 order_engine, poll_engine, read_platform, log_event, drained>;

/// Outputs of one step, in the order of their execution.
using outbox = std::vector<output>;

} // namespace lovagegate::node

#endif
