#include "lovagegate/pool/grant_guard.hpp"

#include "lovagegate/pool/fencing.hpp"

#include <algorithm>

namespace lovagegate::pool {
namespace {

/// Keeps the numbers of these orders apart from those of loads.
constexpr local_id first_fence_order = local_id{1} << 62U;
/// An order without an answer is sent again.
constexpr duration repeat_after = 2s;

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
    case grant_block::evidence_young:
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
    if (role.first_listed || now >= role.since + settings.evidence_wait)
        return grant_block::none;
    return grant_block::evidence_young;
}

fence_keeper::fence_keeper(pool_state& pool)
    : pool_(pool), next_id_(first_fence_order)
{
}

bool fence_keeper::is_due(const engine& e, time_point now) const
{
    return pool_.role.owner && e.usable() && e.declared.checks_fencing &&
           !e.fenced && !e.superseded && now >= e.fence_sent + repeat_after;
}

void fence_keeper::tick(time_point now, node::outbox& out)
{
    for (engine& e : pool_.engines) {
        if (!is_due(e, now))
            continue;
        const auto& slots = e.holds.slots();
        const auto held =
            std::ranges::find(slots, slot_state::ready, &slot::state);
        if (held == slots.end())
            continue;
        e.fence_order = next_id_++;
        e.fence_sent = now;
        node::order_engine order;
        order.target = e.id;
        order.address = e.declared.address;
        order.port = e.declared.port;
        order.order = e.fence_order;
        order.kind = node::order_kind::load;
        order.adapter = pool_.adapters.adapter(held->adapter);
        order.token = order_token(e);
        order.not_after = now + pool_.settings.load.order_window;
        out.emplace_back(std::move(order));
        pool_.counts.add("fence_orders");
    }
}

bool fence_keeper::on_order_ended(const node::order_ended& ended,
                                  time_point now)
{
    if (ended.order < first_fence_order)
        return false;
    const engine_index index = pool_.engines.find(ended.target);
    if (index == no_engine ||
        pool_.engines.at(index).fence_order != ended.order)
        return true;
    engine& e = pool_.engines.at(index);
    e.fence_order = 0;
    if (ended.end == node::order_end::done)
        e.fenced = true;
    else if (ended.end == node::order_end::stale_token)
        learn_token(e, ended.highest_token, pool_.role, pool_.settings.lease,
                    now);
    return true;
}

} // namespace lovagegate::pool
