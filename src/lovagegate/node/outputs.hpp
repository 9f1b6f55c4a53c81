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

/// What the decision core asks of the tasks that own sockets.
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
    request_id request;      ///< goes along as X-Request-Id
    duration time_left{};
    /// Past it nothing may be written any more: the attempt then ends as
    /// connect_failed. End of the lease's send window, or the deadline.
    time_point not_after{};
    bool keep_answer = false; ///< return it in attempt_ended when small
};

struct cancel_attempt
{
    local_id id = 0;
    std::uint32_t attempt = 0;
};

/// The request has ended without an answer of a target, or after one.
struct finish_request
{
    local_id id = 0;
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    duration retry_after{};
    std::optional<protocol::stored_answer> answer; ///< of an earlier run
};

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

struct order_engine
{
    target_id target;
    std::string address;
    std::uint16_t port = 0;
    local_id order = 0;
    order_kind kind = order_kind::load;
    adapter_version adapter;
    fencing_token token = 0;
    /// An order that cannot be sent by then is dropped and ends as failed.
    time_point not_after{};
};

/// Asks an engine for its report now.
struct poll_engine
{
    target_id target;
    std::string address;
    std::uint16_t port = 0;
};

/// Asks the platform; the answer comes as instance_list, published_tickets or
/// platform_unavailable. Every such output gets exactly one answer.
struct read_platform
{
    platform_part part = platform_part::tickets;
    duration wait{}; ///< how long the service may wait for news; 0: not at all
};

/// One change of state for the log.
struct log_event
{
    std::string event; ///< snake_case name
    std::vector<std::pair<std::string, std::string>> fields;
};

/// All requests have ended after stop_requested: the process may exit.
struct drained
{
};

using output =
    std::variant<start_attempt, cancel_attempt, finish_request, send_message,
                 order_engine, poll_engine, read_platform, log_event, drained>;

/// Outputs of one step in the order in which they are to be carried out.
using outbox = std::vector<output>;

} // namespace lovagegate::node

#endif
