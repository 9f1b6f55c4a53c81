#include "lovagegate/pool/residency.hpp"

#include <algorithm>

namespace lovagegate::pool {

namespace {

bool in_flight_state(const slot& s)
{
    return s.state == slot_state::loading || s.state == slot_state::unloading;
}

} // namespace

slot* residency::find_mutable(adapter_key adapter)
{
    const auto it = std::ranges::find(slots_, adapter, &slot::adapter);
    return it == slots_.end() ? nullptr : &*it;
}

const slot* residency::find(adapter_key adapter) const
{
    const auto it = std::ranges::find(slots_, adapter, &slot::adapter);
    return it == slots_.end() ? nullptr : &*it;
}

bool residency::holds(adapter_key adapter) const
{
    const slot* s = find(adapter);
    return s != nullptr && s->state == slot_state::ready;
}

bool residency::has_pending_load(adapter_key adapter) const
{
    return std::ranges::any_of(slots_, [&](const slot& s) {
        return (s.state == slot_state::loading && s.adapter == adapter) ||
               (s.state == slot_state::unloading && s.next_adapter == adapter);
    });
}

slot* residency::find_mutable_order(local_id order)
{
    const auto it = std::ranges::find_if(slots_, [&](const slot& s) {
        return in_flight_state(s) && s.order == order;
    });
    return it == slots_.end() ? nullptr : &*it;
}

const slot* residency::find_order(local_id order) const
{
    const auto it = std::ranges::find_if(slots_, [&](const slot& s) {
        return in_flight_state(s) && s.order == order;
    });
    return it == slots_.end() ? nullptr : &*it;
}

void residency::erase_slot(const slot* s)
{
    slots_.erase(slots_.begin() + (s - slots_.data()));
}

void residency::begin_load(adapter_key adapter, local_id order, time_point now)
{
    slot s;
    s.adapter = adapter;
    s.state = slot_state::loading;
    s.order = order;
    s.state_since = now;
    slots_.push_back(s);
}

void residency::begin_unload(adapter_key victim, adapter_key next,
                             local_id order, time_point now)
{
    slot* s = find_mutable(victim);
    if (s == nullptr)
        return;
    s->state = slot_state::unloading;
    s->next_adapter = next;
    s->order = order;
    s->state_since = now;
}

adapter_key residency::follow_unload(local_id order, local_id next_order,
                                     time_point now)
{
    slot* s = find_mutable_order(order);
    if (s == nullptr)
        return no_adapter;
    const adapter_key next = s->next_adapter;
    erase_slot(s);
    if (next != no_adapter)
        begin_load(next, next_order, now);
    return next;
}

void residency::load_done(local_id order, time_point now)
{
    slot* s = find_mutable_order(order);
    if (s == nullptr)
        return;
    s->state = slot_state::ready;
    s->state_since = now;
    s->loaded_at = now;
}

void residency::order_failed(local_id order, time_point now)
{
    slot* s = find_mutable_order(order);
    if (s == nullptr)
        return;
    if (s->state == slot_state::loading) {
        erase_slot(s);
        return;
    }
    s->state = slot_state::ready;
    s->next_adapter = no_adapter;
    s->state_since = now;
}

void residency::order_unknown(local_id order, time_point now)
{
    slot* s = find_mutable_order(order);
    if (s == nullptr)
        return;
    s->state = slot_state::uncertain;
    s->next_adapter = no_adapter;
    s->state_since = now;
}

void residency::lease_ended(adapter_key adapter, bool confirmed, time_point now)
{
    slot* s = find_mutable(adapter);
    if (s == nullptr)
        return;
    (confirmed ? s->last_confirmed_end : s->last_unconfirmed_end) = now;
}

void residency::remove(adapter_key adapter)
{
    const slot* s = find(adapter);
    if (s != nullptr && !in_flight_state(*s))
        erase_slot(s);
}

void residency::apply_report(slot& s, const reported_adapter* entry,
                             time_point now, time_point earliest_creation)
{
    if (in_flight_state(s) || entry == nullptr)
        return;
    if (s.state == slot_state::uncertain &&
        s.state_since <= earliest_creation) {
        s.state = slot_state::ready;
        s.last_unconfirmed_end = s.state_since;
        s.state_since = now;
    }
    (entry->busy ? s.last_busy_report : s.last_idle_report) = now;
}

void residency::reconcile(std::span<const reported_adapter> report,
                          time_point now, duration report_lag)
{
    const time_point earliest_creation = now - report_lag;
    for (slot& s : slots_) {
        const auto it =
            std::ranges::find(report, s.adapter, &reported_adapter::adapter);
        apply_report(s, it == report.end() ? nullptr : &*it, now,
                     earliest_creation);
    }
    std::erase_if(slots_, [&](const slot& s) {
        const bool reported =
            std::ranges::find(report, s.adapter, &reported_adapter::adapter) !=
            report.end();
        return !reported && !in_flight_state(s) &&
               s.state_since <= earliest_creation;
    });
    for (const reported_adapter& entry : report) {
        // If a full engine reports another adapter, it has already dropped one
        // of the adapters listed here, or the report predates an unload.
        if (find(entry.adapter) != nullptr || slots_.size() >= capacity_)
            continue;
        slot s;
        s.adapter = entry.adapter;
        s.state_since = now;
        s.last_unconfirmed_end = now;
        (entry.busy ? s.last_busy_report : s.last_idle_report) = now;
        slots_.push_back(s);
    }
}

std::vector<local_id> residency::overdue(time_point now, duration timeout) const
{
    std::vector<local_id> out;
    for (const slot& s : slots_) {
        if (in_flight_state(s) && now - s.state_since > timeout)
            out.push_back(s.order);
    }
    return out;
}

std::size_t residency::in_flight() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, in_flight_state));
}

} // namespace lovagegate::pool
