#include "lovagegate/pool/pool_owner.hpp"

#include "lovagegate/pool/engine_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagegate::pool {

namespace {

/// Retry delay sent to a caller that is refused because the queue is full or no
/// engine is available.
constexpr duration default_retry_after = 1s;
/// Number of crashes, each of a different target run, that quarantine a
/// fingerprint.
constexpr std::size_t quarantine_threshold = 2;

lease_key make_key(const protocol::sender& from, local_id id)
{
    return {from.instance, from.start, id};
}

/// @return whether the lease end proves that the engine no longer runs the
/// request
bool confirms_end(protocol::lease_end end)
{
    return end == protocol::lease_end::finished ||
           end == protocol::lease_end::not_sent ||
           end == protocol::lease_end::missing;
}

} // namespace

pool_owner::pool_owner(pool_id pool, instance_id self,
                       const pool_settings& settings, counters& counts,
                       quarantine_lookup_ref lookup)
    : self_(std::move(self)), pool_(std::move(pool), settings, counts),
      lookup_(lookup), loads_(pool_), fencer_(pool_)
{
}

bool pool_owner::quarantined(fingerprint print) const
{
    return crashes_.crashes(print) >= quarantine_threshold ||
           lookup_.is_quarantined(print);
}

waiting_request pool_owner::to_waiting(const protocol::sender& from,
                                       const protocol::lease_request& request,
                                       time_point now)
{
    waiting_request w;
    w.key = make_key(from, request.id);
    w.repeat = request.repeat;
    w.adapter = pool_.adapters.key(request.adapter);
    w.importance = request.importance;
    w.arrived = now;
    w.deadline = now + request.deadline;
    w.print = request.print;
    w.prefix = request.prefix;
    w.suspected = request.suspicions > 0 ||
                  crashes_.crashes(request.print) > 0 ||
                  lookup_.is_suspected(request.print);
    for (const target_id& id : request.excluded) {
        const engine_index i = pool_.engines.find(id);
        if (i != no_engine)
            w.excluded.push_back(i);
    }
    return w;
}

void pool_owner::on_lease_request(const protocol::sender& from,
                                  const protocol::lease_request& request,
                                  time_point now, node::outbox& out)
{
    const lease_key key = make_key(from, request.id);
    if (const lease* open = pool_.leases.find(key)) {
        // The grant was lost in transit: send it again.
        out.push_back(node::send_message{from.instance, open->grant});
        return;
    }
    if (pool_.queue.update_repeat(key, request.repeat)) {
        out.push_back(node::send_message{
            from.instance, protocol::lease_queued{request.id, pool_.id}});
        return;
    }
    if (!pool_.role.owner) {
        refuse(key, refusal::owner_unreachable, {}, out);
        return;
    }
    if (request.suspicions >= quarantine_threshold ||
        quarantined(request.print)) {
        refuse(key, refusal::quarantined, {}, out);
        return;
    }
    waiting_request w = to_waiting(from, request, now);
    const bool hit = pool_.engines.resident(w.adapter);
    if (pool_.demand.on_request(w.adapter, w.importance, hit))
        pool_.counts.add("popularity_shifts");
    const engine_index index = choose_engine(pool_, w, now);
    if (index != no_engine) {
        grant(w, index, now, out);
        return;
    }
    duration retry_after{};
    const refusal reason = check_admission(w, now, out, retry_after);
    if (reason != refusal::none) {
        refuse(key, reason, retry_after, out);
        return;
    }
    pool_.queue.push(std::move(w));
    loads_.request_permits(now, out);
}

refusal pool_owner::check_admission(const waiting_request& request,
                                    time_point now, node::outbox& out,
                                    duration& retry_after)
{
    const queue_settings& q = pool_.settings.queue;
    retry_after = default_retry_after;
    if (!pool_.engines.any_may_become_usable())
        return refusal::no_target;
    if (request.importance == priority::batch) {
        const auto max_batch =
            static_cast<std::size_t>(double(q.limit) * q.batch_share);
        if (pool_.queue.size(priority::batch) >= max_batch)
            return refusal::queue_full;
    }
    if (pool_.queue.size() >= q.limit) {
        if (request.importance == priority::batch)
            return refusal::queue_full;
        const auto displaced = pool_.queue.take_newest_batch();
        if (!displaced)
            return refusal::queue_full;
        refuse(displaced->key, refusal::queue_full, default_retry_after, out);
    }
    if (pool_.engines.copies(request.adapter) > 0)
        return refusal::none;
    const duration wait = loads_.expected_wait(request, now);
    if (now + wait <= request.deadline)
        return refusal::none;
    retry_after = std::max(default_retry_after, now + wait - request.deadline);
    return refusal::deadline_unreachable;
}

void pool_owner::grant(const waiting_request& request, engine_index index,
                       time_point now, node::outbox& out)
{
    const engine& e = pool_.engines.at(index);
    protocol::lease_grant message;
    message.id = request.key.id;
    message.repeat = request.repeat;
    message.pool = pool_.id;
    message.target_start = e.start;
    message.target = e.id;
    message.token = e.token;
    message.target_start = e.start;
    message.send_window = pool_.settings.lease.send_window;
    message.ttl = pool_.settings.lease.ttl;
    message.width = spread_width(request.adapter);

    lease l;
    l.engine = index;
    l.engine_start = e.start;
    l.adapter = request.adapter;
    l.print = request.print;
    l.importance = request.importance;
    l.expires = now + pool_.settings.lease.ttl;
    l.grant = message;
    pool_.leases.open(request.key, std::move(l));
    pool_.counts.add("leases_granted");
    out.push_back(node::send_message{request.key.holder, std::move(message)});
}

/// Returns the number of pools over which the adapter is spread, chosen so that
/// it occupies less than half of this pool.
std::uint32_t pool_owner::spread_width(adapter_key adapter) const
{
    std::size_t open = 0;
    double room = 0.0;
    for (engine_index i = 0; i < pool_.engines.size(); ++i) {
        const engine& e = pool_.engines.at(i);
        open += pool_.leases.on_adapter(i, adapter);
        room += e.usable() ? double(e.declared.max_running) : 0.0;
    }
    const double width =
        room > 0.0 ? std::floor(2.0 * double(open) / room) : 0.0;
    return 1U + static_cast<std::uint32_t>(width);
}

void pool_owner::refuse(const lease_key& key, refusal reason,
                        duration retry_after, node::outbox& out)
{
    protocol::lease_refusal message;
    message.id = key.id;
    message.pool = pool_.id;
    message.reason = reason;
    message.retry_after = retry_after;
    pool_.counts.add("lease_refusals", "reason", to_string(reason));
    out.push_back(node::send_message{key.holder, std::move(message)});
}

void pool_owner::refuse_all(std::span<const waiting_request> requests,
                            refusal reason, duration retry_after,
                            node::outbox& out)
{
    for (const waiting_request& r : requests)
        refuse(r.key, reason, retry_after, out);
}

void pool_owner::grant_waiting_on_adapter(adapter_key adapter, time_point now,
                                          node::outbox& out)
{
    bool more = true;
    while (more) {
        more = false;
        for (const waiting_request& r : pool_.queue.waiting_for(adapter)) {
            // The fingerprint may have been quarantined while the request
            // waited.
            if (quarantined(r.print)) {
                const auto taken = pool_.queue.remove(lease_key(r.key));
                refuse(taken->key, refusal::quarantined, {}, out);
                more = true;
                break;
            }
            const engine_index index = choose_engine(pool_, r, now);
            if (index == no_engine)
                continue;
            const auto taken = pool_.queue.remove(lease_key(r.key));
            grant(*taken, index, now, out);
            more = true;
            break;
        }
    }
}

/// Grants free leases on the engine by the head request of each adapter:
/// highest priority first, then oldest.
void pool_owner::grant_waiting_on_engine(engine_index index, time_point now,
                                         node::outbox& out)
{
    std::vector<const waiting_request*> heads;
    for (const slot& s : pool_.engines.at(index).residents.slots()) {
        const auto waiting = pool_.queue.waiting_for(s.adapter);
        if (s.state == slot_state::ready && !waiting.empty())
            heads.push_back(&waiting.front());
    }
    std::ranges::sort(heads, [](const auto* a, const auto* b) {
        return std::pair(a->importance, a->sequence) <
               std::pair(b->importance, b->sequence);
    });
    std::vector<adapter_key> order;
    order.reserve(heads.size());
    for (const waiting_request* head : heads)
        order.push_back(head->adapter);
    for (const adapter_key adapter : order)
        grant_waiting_on_adapter(adapter, now, out);
}

void pool_owner::grant_all_waiting(time_point now, node::outbox& out)
{
    for (engine_index i = 0; i < pool_.engines.size(); ++i)
        grant_waiting_on_engine(i, now, out);
}

void pool_owner::note_lease_end(const lease& l, bool confirmed, time_point now)
{
    engine& e = pool_.engines.at(l.engine);
    const bool same_run = l.engine_start == 0 || e.start == l.engine_start;
    if (same_run)
        e.residents.lease_ended(l.adapter, confirmed, now);
}

void pool_owner::record_request_end(const lease& l,
                                    const protocol::released_lease& end,
                                    time_point now)
{
    engine& e = pool_.engines.at(l.engine);
    if (e.start != l.engine_start)
        return;
    switch (end.end) {
    case protocol::lease_end::finished:
        e.health.on_end(true, end.first_token);
        break;
    case protocol::lease_end::missing:
        pool_.counts.add("adapters_missing");
        e.residents.remove(l.adapter);
        break;
    case protocol::lease_end::crashed:
        crashes_.add({l.print, e.id, l.engine_start});
        e.health.on_end(false, {});
        e.unreachable = true;
        e.require_report(now);
        break;
    case protocol::lease_end::failed:
        e.health.on_end(false, {});
        break;
    case protocol::lease_end::not_sent:
        return;
    }
    eject_if_unhealthy(l.engine, now);
}

void pool_owner::on_release(const protocol::sender& from,
                            const protocol::lease_release& release,
                            time_point now, node::outbox& out)
{
    for (const protocol::released_lease& end : release.leases) {
        const auto l = pool_.leases.close(make_key(from, end.id));
        if (!l)
            continue;
        note_lease_end(*l, confirms_end(end.end), now);
        record_request_end(*l, end, now);
        const engine& e = pool_.engines.at(l->engine);
        if (e.unreachable)
            out.push_back(
                node::poll_engine{e.id, e.declared.address, e.declared.port});
        grant_waiting_on_adapter(l->adapter, now, out);
        grant_waiting_on_engine(l->engine, now, out);
    }
    if (pool_.queue.size() > 0)
        loads_.request_permits(now, out);
}

void pool_owner::register_lease(const lease_key& key,
                                const protocol::open_lease& open,
                                time_point now)
{
    const time_point expires = now + pool_.settings.lease.ttl;
    if (pool_.leases.find(key) != nullptr) {
        pool_.leases.renew(key, expires);
        return;
    }
    const engine_index index = pool_.engines.find(open.target);
    if (index == no_engine)
        return;
    lease l;
    l.engine = index;
    l.engine_start = pool_.engines.at(index).start;
    l.adapter = pool_.adapters.key(open.adapter);
    l.print = open.print;
    l.expires = expires;
    l.grant.id = key.id;
    l.grant.pool = pool_.id;
    l.grant.target = open.target;
    pool_.leases.open(key, std::move(l));
    pool_.counts.add("leases_registered");
}

void pool_owner::on_renewal(const protocol::sender& from,
                            const protocol::lease_renewal& renewal,
                            time_point now, node::outbox&)
{
    for (const protocol::open_lease& open : renewal.leases)
        register_lease(make_key(from, open.id), open, now);
}

void pool_owner::on_cancel(const protocol::sender& from,
                           const protocol::lease_cancel& cancel, time_point now,
                           node::outbox& out)
{
    const lease_key key = make_key(from, cancel.id);
    if (pool_.queue.remove(key))
        return;
    // The grant may already be in transit; the requesting instance does not use
    // it.
    protocol::lease_release release;
    release.pool = pool_.id;
    release.leases.push_back({cancel.id, protocol::lease_end::not_sent, {}});
    on_release(from, release, now, out);
}

void pool_owner::on_peer_gone(const instance_id& peer, time_point)
{
    const auto gone = pool_.queue.take_instance(peer);
    pool_.counts.add("waiting_of_dead_instances", gone.size());
}

bool pool_owner::on_suspicions(std::span<const protocol::suspicion> crashes,
                               time_point now)
{
    bool any = false;
    for (const protocol::suspicion& crash : crashes) {
        crashes_.add(crash);
        const engine_index index = pool_.engines.find(crash.target);
        if (index == no_engine)
            continue;
        engine& e = pool_.engines.at(index);
        if (crash.target_start < e.start)
            continue;
        // A grant that names the ended run would attribute the engine's next
        // crash to that run as well.
        e.require_report(now);
        any = true;
    }
    return any;
}

void pool_owner::require_reports(time_point now)
{
    for (engine& e : pool_.engines)
        e.require_report(now);
}

} // namespace lovagegate::pool
