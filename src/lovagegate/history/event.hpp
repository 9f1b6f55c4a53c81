#ifndef LOVAGEGATE_HISTORY_EVENT_HPP
#define LOVAGEGATE_HISTORY_EVENT_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Events of a run, recorded by instances, targets, callers and the platform,
/// and a checker of the invariants over them.
namespace lovagegate::history {

// Each event lists its fields once: fields(event, visitor) calls the visitor
// with the name of each field and a reference to it. Serialization, parsing and
// indexing by subject use it.

/// An instance accepted a caller's request.
struct received
{
    static constexpr std::string_view name = "received";
    instance_id instance;
    incarnation start = 0;
    local_id call = 0; ///< unique within the incarnation of the instance
    request_id request;
    adapter_version adapter; ///< requested; an empty version means the default
    bool idempotent = true;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("start", e.start);
        visit("call", e.call);
        visit("request", e.request);
        visit("adapter", e.adapter);
        visit("idempotent", e.idempotent);
    }
};

/// The owner of a pool granted a lease.
struct granted
{
    static constexpr std::string_view name = "granted";
    instance_id instance; ///< the owner
    instance_id holder;
    local_id lease = 0;
    target_id target;
    fencing_token token = 0;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("holder", e.holder);
        visit("lease", e.lease);
        visit("target", e.target);
        visit("token", e.token);
    }
};

/// An instance sent a request to a target.
struct sent
{
    static constexpr std::string_view name = "sent";
    instance_id instance;
    incarnation start = 0;
    local_id call = 0;
    std::uint32_t attempt = 0;
    request_id request;
    target_id target;
    adapter_version adapter;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("start", e.start);
        visit("call", e.call);
        visit("attempt", e.attempt);
        visit("request", e.request);
        visit("target", e.target);
        visit("adapter", e.adapter);
    }
};

/// A target started to run a request.
struct started
{
    static constexpr std::string_view name = "started";
    target_id target;
    incarnation target_start = 0;
    request_id request;
    adapter_version adapter;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("target", e.target);
        visit("target_start", e.target_start);
        visit("request", e.request);
        visit("adapter", e.adapter);
    }
};

/// A target stopped running a request: completed, cancelled or cut off.
struct finished
{
    static constexpr std::string_view name = "finished";
    target_id target;
    incarnation target_start = 0;
    request_id request;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("target", e.target);
        visit("target_start", e.target_start);
        visit("request", e.request);
    }
};

/// A caller received the outcome of its request.
struct answered
{
    static constexpr std::string_view name = "answered";
    instance_id instance;
    incarnation start = 0;
    local_id call = 0;
    request_id request;
    request_outcome outcome = request_outcome::unknown;
    refusal reason = refusal::none;
    request_id answer_of;    ///< request named in the answer, if any
    adapter_version adapter; ///< named in the answer, if any
    bool whole = true;       ///< the answer is complete

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("start", e.start);
        visit("call", e.call);
        visit("request", e.request);
        visit("outcome", e.outcome);
        visit("reason", e.reason);
        visit("answer_of", e.answer_of);
        visit("adapter", e.adapter);
        visit("whole", e.whole);
    }
};

/// The connection of a caller ended before the caller received the outcome.
struct cut_off
{
    static constexpr std::string_view name = "cut_off";
    instance_id instance;
    incarnation start = 0;
    local_id call = 0;
    request_id request;
    bool by_caller = false; ///< the caller closed the connection

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("start", e.start);
        visit("call", e.call);
        visit("request", e.request);
        visit("by_caller", e.by_caller);
    }
};

/// An instance sent an order to an engine.
struct order_given
{
    static constexpr std::string_view name = "order_given";
    instance_id instance;
    target_id target;
    local_id order = 0;
    node::order_kind kind = node::order_kind::load;
    adapter_version adapter;
    fencing_token token = 0;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("target", e.target);
        visit("order", e.order);
        visit("kind", e.kind);
        visit("adapter", e.adapter);
        visit("token", e.token);
    }
};

/// An order ended, as seen by the instance.
struct order_over
{
    static constexpr std::string_view name = "order_over";
    instance_id instance;
    target_id target;
    local_id order = 0;
    node::order_end end = node::order_end::done;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("target", e.target);
        visit("order", e.order);
        visit("end", e.end);
    }
};

/// An engine started to fetch an adapter from the weight store.
struct load_started
{
    static constexpr std::string_view name = "load_started";
    target_id target;
    incarnation target_start = 0;
    adapter_version adapter;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("target", e.target);
        visit("target_start", e.target_start);
        visit("adapter", e.adapter);
    }
};

/// An engine evicted an adapter.
struct evicted
{
    static constexpr std::string_view name = "evicted";
    target_id target;
    incarnation target_start = 0;
    adapter_version adapter;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("target", e.target);
        visit("target_start", e.target_start);
        visit("adapter", e.adapter);
    }
};

/// A target crashed; it restarts without adapters.
struct target_crashed
{
    static constexpr std::string_view name = "target_crashed";
    target_id target;
    incarnation target_start = 0;
    fingerprint print = 0; ///< of the request that caused it; 0: none

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("target", e.target);
        visit("target_start", e.target_start);
        visit("print", e.print);
    }
};

/// The platform announced that a target leaves, or that it is back.
struct target_leaving
{
    static constexpr std::string_view name = "target_leaving";
    target_id target;
    bool leaving = true;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("target", e.target);
        visit("leaving", e.leaving);
    }
};

/// A change ticket reached the first instance that is not isolated.
struct ticket_accepted
{
    static constexpr std::string_view name = "ticket_accepted";
    ticket_number number = 0;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("number", e.number);
    }
};

/// The highest ticket in force at an instance.
struct ticket_in_force
{
    static constexpr std::string_view name = "ticket_in_force";
    instance_id instance;
    incarnation start = 0;
    ticket_number number = 0;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("start", e.start);
        visit("number", e.number);
    }
};

/// Lifecycle stages of an instance.
enum class stage : std::uint8_t
{
    begun,          ///< the process has started
    ready,          ///< the instance accepts requests
    stop_requested, ///< graceful shutdown has begun
    exited,         ///< the process exited by itself
    killed,         ///< the process was killed
    isolated,       ///< paused, or cut off from all sources of tickets
    rejoined,       ///< no longer isolated
};

/// An instance entered a lifecycle stage.
struct instance_stage
{
    static constexpr std::string_view name = "instance_stage";
    instance_id instance;
    incarnation start = 0;
    stage now = stage::begun;

    template <typename Self, typename Visitor>
    static void fields(Self& e, Visitor&& visit)
    {
        visit("instance", e.instance);
        visit("start", e.start);
        visit("now", e.now);
    }
};

using event_body =
    std::variant<received, granted, sent, started, finished, answered, cut_off,
                 order_given, order_over, load_started, evicted, target_crashed,
                 target_leaving, ticket_accepted, ticket_in_force,
                 instance_stage>;

/// An event with its time.
struct event
{
    duration at{}; ///< time on a clock shared by all recorders
    event_body body;
};

} // namespace lovagegate::history

#endif
