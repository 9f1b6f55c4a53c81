#ifndef LOVAGEGATE_WIRE_INTERNAL_FIELDS_HPP
#define LOVAGEGATE_WIRE_INTERNAL_FIELDS_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/wire/internal/archive.hpp"

/// Lists the fields of each message once, for encoding and decoding. Append new
/// fields to the end of a list, and never reuse a name with another meaning:
/// other releases may still use it.
namespace lovagegate::protocol {

template <typename Archive>
void fields(Archive& a, lease_request& m)
{
    a("id", m.id);
    a("repeat", m.repeat);
    a("pool", m.pool);
    a("adapter", m.adapter.adapter);
    a("version", m.adapter.version);
    a("priority", m.importance);
    a("deadline", m.deadline);
    a("print", m.print);
    a("prefix", m.prefix);
    a("suspicions", m.suspicions);
    a("excluded", m.excluded);
}

template <typename Archive>
void fields(Archive& a, lease_grant& m)
{
    a("id", m.id);
    a("repeat", m.repeat);
    a("pool", m.pool);
    a("target", m.target);
    a("token", m.token);
    a("target_start", m.target_start);
    a("send_window", m.send_window);
    a("ttl", m.ttl);
    a("width", m.width);
}

template <typename Archive>
void fields(Archive& a, lease_refusal& m)
{
    a("id", m.id);
    a("pool", m.pool);
    a("reason", m.reason);
    a("retry_after", m.retry_after);
}

template <typename Archive>
void fields(Archive& a, lease_queued& m)
{
    a("id", m.id);
    a("pool", m.pool);
}

template <typename Archive>
void fields(Archive& a, released_lease& m)
{
    a("id", m.id);
    a("end", m.end);
    a("first_token", m.first_token);
}

template <typename Archive>
void fields(Archive& a, lease_release& m)
{
    a("pool", m.pool);
    a("leases", m.leases);
}

template <typename Archive>
void fields(Archive& a, open_lease& m)
{
    a("id", m.id);
    a("target", m.target);
    a("adapter", m.adapter.adapter);
    a("version", m.adapter.version);
    a("print", m.print);
}

template <typename Archive>
void fields(Archive& a, lease_renewal& m)
{
    a("pool", m.pool);
    a("leases", m.leases);
}

template <typename Archive>
void fields(Archive& a, lease_cancel& m)
{
    a("id", m.id);
    a("pool", m.pool);
}

template <typename Archive>
void fields(Archive& a, pool_handover::holder_lease& m)
{
    a("holder", m.holder);
    a("lease", m.lease);
    a("start", m.start);
}

template <typename Archive>
void fields(Archive& a, pool_handover::engine_token& m)
{
    a("target", m.target);
    a("token", m.token);
}

template <typename Archive>
void fields(Archive& a, pool_handover& m)
{
    a("pool", m.pool);
    a("leases", m.leases);
    a("tokens", m.tokens);
    a("complete", m.complete);
}

template <typename Archive>
void fields(Archive& a, wanted_load& m)
{
    a("id", m.id);
    a("priority", m.importance);
    a("waiting", m.waiting);
    a("deadline", m.deadline);
    a("value", m.value);
}

template <typename Archive>
void fields(Archive& a, permit_request& m)
{
    a("store", m.store);
    a("pool", m.pool);
    a("wants", m.wants);
    a("in_transit", m.in_transit);
}

template <typename Archive>
void fields(Archive& a, permit_grant& m)
{
    a("store", m.store);
    a("pool", m.pool);
    a("wants", m.wants);
    a("valid_for", m.valid_for);
}

template <typename Archive>
void fields(Archive& a, permit_return& m)
{
    a("store", m.store);
    a("pool", m.pool);
    a("wants", m.wants);
    a("unused", m.unused);
}

template <typename Archive>
void fields(Archive& a, ticket_push& m)
{
    a("tickets", m.tickets);
}

template <typename Archive>
void fields(Archive& a, ticket_digest& m)
{
    a("highest", m.highest);
    a("digest", m.digest);
    a("confirmed", m.confirmed);
}

template <typename Archive>
void fields(Archive& a, ticket_pull& m)
{
    a("held", m.held);
    a("from", m.from);
}

template <typename Archive>
void fields(Archive& a, stored_answer& m)
{
    a("status", m.status);
    a("content_type", m.content_type);
    a("body", m.body);
}

template <typename Archive>
void fields(Archive& a, claim_request& m)
{
    a("id", m.id);
    a("request", m.request);
    a("issued", m.issued);
    a("print", m.print);
}

template <typename Archive>
void fields(Archive& a, claim_answer& m)
{
    a("id", m.id);
    a("verdict", m.verdict);
    a("answer", m.answer);
}

template <typename Archive>
void fields(Archive& a, claim_result& m)
{
    a("id", m.id);
    a("request", m.request);
    a("outcome", m.outcome);
    a("answer", m.answer);
}

template <typename Archive>
void fields(Archive& a, claim_transfer& m)
{
    a("request", m.request);
    a("issued", m.issued);
    a("uptime", m.uptime);
}

template <typename Archive>
void fields(Archive& a, claim_transfer_answer& m)
{
    a("request", m.request);
    a("seen", m.seen);
    a("verdict", m.verdict);
    a("answer", m.answer);
}

template <typename Archive>
void fields(Archive& a, suspicion& m)
{
    a("print", m.print);
    a("target", m.target);
    a("target_start", m.target_start);
}

template <typename Archive>
void fields(Archive& a, suspicion_push& m)
{
    a("suspicions", m.suspicions);
}

template <typename Archive>
void fields(Archive& a, unreachable_peer& m)
{
    a("instance", m.instance);
    a("start", m.start);
}

template <typename Archive>
void fields(Archive& a, heartbeat& m)
{
    a("state", m.state);
    a("tickets", m.tickets);
    a("list_index", m.list_index);
    a("list_confirmed", m.list_confirmed);
    a("heard", m.heard);
    a("unreachable", m.unreachable);
    a("reply_wanted", m.reply_wanted);
}

} // namespace lovagegate::protocol

namespace lovagegate::wire {

template <typename Archive>
void fields(Archive& a, hello& m)
{
    a("version", m.version);
    a("instance", m.from.instance);
    a("start", m.from.start);
    a("nonce", m.nonce);
}

} // namespace lovagegate::wire

namespace lovagegate::wire::internal {

template <>
inline constexpr priority last_value<priority> = priority::batch;
template <>
inline constexpr refusal last_value<refusal> = refusal::caller_gone;
template <>
inline constexpr request_outcome last_value<request_outcome> =
    request_outcome::unknown;
template <>
inline constexpr protocol::lease_end last_value<protocol::lease_end> =
    protocol::lease_end::failed;
template <>
inline constexpr protocol::claim_verdict last_value<protocol::claim_verdict> =
    protocol::claim_verdict::full;
template <>
inline constexpr protocol::phase last_value<protocol::phase> =
    protocol::phase::leaving;

} // namespace lovagegate::wire::internal

#endif
