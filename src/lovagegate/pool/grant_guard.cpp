#include "lovagegate/pool/grant_guard.hpp"

#include "lovagegate/pool/fencing.hpp"

#include <algorithm>

namespace lovagegate::pool {
namespace {

/// Separates the ids of fencing orders from those of load orders.
constexpr local_id first_fencing_order = local_id{1} << 62U;
/// Interval after which an unanswered fencing order is sent again.
constexpr duration resend_interval = 2s;

} // namespace

std::string_view to_string(grant_block b) noexcept
{
    switch (b) {
    case grant_block::none:
        return "none";
    case grant_block::superseded:
        return "superseded";
    case grant_block::not_fenced:
        return "not_fenced";
    case grant_block::first_listed_may_act:
        return "evidence_young";
    }
    return "invalid";
}

grant_block check_grant(const engine& e, const ownership& role,
                        const lease_settings& settings, time_point now) noexcept
{
    if (e.superseded)
        return grant_block::superseded;
    if (e.declared.checks_fencing)
        return e.fenced ? grant_block::none : grant_block::not_fenced;
    if (role.first_listed || now >= role.since + settings.first_listed_wait)
        return grant_block::none;
    return grant_block::first_listed_may_act;
}

engine_fencer::engine_fencer(pool_state& pool)
    : pool_(pool), next_id_(first_fencing_order)
{
}

bool engine_fencer::is_due(const engine& e, time_point now) const
{
    return pool_.role.owner && e.usable() && e.declared.checks_fencing &&
           !e.fenced && !e.superseded &&
           now >= e.fencing_order_sent + resend_interval;
}

void engine_fencer::tick(time_point now, node::outbox& out)
{
    for (engine& e : pool_.engines) {
        if (!is_due(e, now))
            continue;
        const auto& slots = e.residents.slots();
        const auto held =
            std::ranges::find(slots, slot_state::ready, &slot::state);
        if (held == slots.end())
            continue;
        e.fencing_order = next_id_++;
        e.fencing_order_sent = now;
        node::order_engine order;
        order.target = e.id;
        order.address = e.declared.address;
        order.port = e.declared.port;
        order.order = e.fencing_order;
        order.kind = node::order_kind::load;
        order.adapter = pool_.adapters.adapter(held->adapter);
        order.token = order_token(e);
        order.not_after = now + pool_.settings.load.order_window;
        out.emplace_back(std::move(order));
        pool_.counts.add("fence_orders");
    }
}

bool engine_fencer::on_order_ended(const node::order_ended& ended,
                                   time_point now)
{
    if (ended.order < first_fencing_order)
        return false;
    const engine_index index = pool_.engines.find(ended.target);
    if (index == no_engine ||
        pool_.engines.at(index).fencing_order != ended.order)
        return true;
    engine& e = pool_.engines.at(index);
    e.fencing_order = 0;
    if (ended.end == node::order_end::done)
        e.fenced = true;
    else if (ended.end == node::order_end::stale_token)
        on_reported_token(e, ended.highest_token, pool_.role,
                          pool_.settings.lease, now);
    return true;
}

} // namespace lovagegate::pool
