#include "lovagegate/pool/residency.hpp"

#include <algorithm>

namespace lovagegate::pool {

namespace {

bool in_flight_state(const slot& s)
{
    return s.state == slot_state::loading || s.state == slot_state::unloading;
}

} // namespace

slot* residency::mutable_find(adapter_key adapter)
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

bool residency::awaits(adapter_key adapter) const
{
    return std::ranges::any_of(slots_, [&](const slot& s) {
        return (s.state == slot_state::loading && s.adapter == adapter) ||
               (s.state == slot_state::unloading && s.next == adapter);
    });
}

slot* residency::mutable_order(local_id order)
{
    const auto it = std::ranges::find_if(slots_, [&](const slot& s) {
        return in_flight_state(s) && s.order == order;
    });
    return it == slots_.end() ? nullptr : &*it;
}

const slot* residency::with_order(local_id order) const
{
    const auto it = std::ranges::find_if(slots_, [&](const slot& s) {
        return in_flight_state(s) && s.order == order;
    });
    return it == slots_.end() ? nullptr : &*it;
}

void residency::drop(const slot* s)
{
    slots_.erase(slots_.begin() + (s - slots_.data()));
}

void residency::begin_load(adapter_key adapter, local_id order, time_point now)
{
    slot s;
    s.adapter = adapter;
    s.state = slot_state::loading;
    s.order = order;
    s.since = now;
    slots_.push_back(s);
}

void residency::begin_unload(adapter_key victim, adapter_key next,
                             local_id order, time_point now)
{
    slot* s = mutable_find(victim);
    if (s == nullptr)
        return;
    s->state = slot_state::unloading;
    s->next = next;
    s->order = order;
    s->since = now;
}

adapter_key residency::follow_unload(local_id order, local_id next_order,
                                     time_point now)
{
    slot* s = mutable_order(order);
    if (s == nullptr)
        return no_adapter;
    const adapter_key next = s->next;
    drop(s);
    if (next != no_adapter)
        begin_load(next, next_order, now);
    return next;
}

void residency::load_done(local_id order, time_point now)
{
    slot* s = mutable_order(order);
    if (s == nullptr)
        return;
    s->state = slot_state::ready;
    s->since = now;
    s->loaded = now;
}

void residency::order_failed(local_id order, time_point now)
{
    slot* s = mutable_order(order);
    if (s == nullptr)
        return;
    if (s->state == slot_state::loading) {
        drop(s);
        return;
    }
    s->state = slot_state::ready;
    s->next = no_adapter;
    s->since = now;
}

void residency::order_unknown(local_id order, time_point now)
{
    slot* s = mutable_order(order);
    if (s == nullptr)
        return;
    s->state = slot_state::uncertain;
    s->next = no_adapter;
    s->since = now;
}

void residency::lease_ended(adapter_key adapter, bool proven, time_point now)
{
    slot* s = mutable_find(adapter);
    if (s == nullptr)
        return;
    (proven ? s->proven_end : s->unproven_end) = now;
}

void residency::remove(adapter_key adapter)
{
    const slot* s = find(adapter);
    if (s != nullptr && !in_flight_state(*s))
        drop(s);
}

void residency::take_report(slot& s, const reported_adapter* entry,
                            time_point now, time_point made_after)
{
    if (in_flight_state(s) || entry == nullptr)
        return;
    if (s.state == slot_state::uncertain && s.since <= made_after) {
        s.state = slot_state::ready;
        s.unproven_end = s.since;
        s.since = now;
    }
    (entry->busy ? s.busy_report : s.idle_report) = now;
}

void residency::reconcile(std::span<const reported_adapter> report,
                          time_point now, duration report_lag)
{
    const time_point made_after = now - report_lag;
    for (slot& s : slots_) {
        const auto it =
            std::ranges::find(report, s.adapter, &reported_adapter::adapter);
        take_report(s, it == report.end() ? nullptr : &*it, now, made_after);
    }
    std::erase_if(slots_, [&](const slot& s) {
        const bool reported =
            std::ranges::find(report, s.adapter, &reported_adapter::adapter) !=
            report.end();
        return !reported && !in_flight_state(s) && s.since <= made_after;
    });
    for (const reported_adapter& entry : report) {
        // A full engine that reports more has dropped one of ours already, or
        // the report is older than the unload.
        if (find(entry.adapter) != nullptr || slots_.size() >= capacity_)
            continue;
        slot s;
        s.adapter = entry.adapter;
        s.since = now;
        s.unproven_end = now;
        (entry.busy ? s.busy_report : s.idle_report) = now;
        slots_.push_back(s);
    }
}

std::vector<local_id> residency::overdue(time_point now, duration timeout) const
{
    std::vector<local_id> out;
    for (const slot& s : slots_) {
        if (in_flight_state(s) && now - s.since > timeout)
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
