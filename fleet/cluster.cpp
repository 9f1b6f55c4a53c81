#include "fleet/cluster.hpp"

#include "lovagegate/wire/codec.hpp"
#include "lovagegate/wire/key.hpp"
#include "lovagegate/wire/session.hpp"

#include <algorithm>

namespace lovagegate::fleet {

namespace {

const wire::shared_key& key()
{
    static const wire::shared_key k(std::string(32, 'k'));
    return k;
}

} // namespace

cluster::cluster(std::size_t n, bool encoded) : members_(n), encoded_(encoded)
{
    list_.index = 1;
    for (std::size_t i = 0; i < n; ++i) {
        node::listed_instance l;
        l.id = id_of(i);
        list_.instances.push_back(l);
    }
    for (std::size_t i = 0; i < n; ++i)
        start(i);
}

instance_id cluster::id_of(std::size_t i)
{
    std::string number = std::to_string(i);
    return instance_id("node-" + std::string(4 - number.size(), '0') + number);
}

instant cluster::now() const
{
    return {now_,
            wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.time_since_epoch() + 1'700'000'000s))};
}

void cluster::start(std::size_t i)
{
    member& m = members_[i];
    m.run = ++runs_;
    m.view = std::make_unique<membership::view>(
        id_of(i), membership::membership_settings{}, m.count, m.run, now_);
    m.book = std::make_unique<ticket::ticket_book>(m.count);
    m.gossip = std::make_unique<propagation::ticket_gossip>(
        propagation::gossip_settings{}, m.count, m.run);
    m.crashes = std::make_unique<quarantine::crash_register>(
        quarantine::quarantine_settings{}, m.count);
    m.last_read_version = 0;
    m.read_pending = false;
    m.next_list_read = now_ + step_time * std::int64_t(i % 100);
}

void cluster::set_service(std::size_t i, service_state s)
{
    members_[i].service = s;
    members_[i].stale_version = published_.size();
}

void cluster::publish(std::string ticket)
{
    published_.push_back(std::move(ticket));
}

void cluster::run(duration d)
{
    for (const time_point end = now_ + d; now_ < end;) {
        now_ += step_time;
        step();
    }
}

void cluster::step()
{
    const std::vector<queued_message> arrived = std::move(in_flight_);
    in_flight_.clear();
    for (const queued_message& p : arrived) {
        protocol::envelope e = p.envelope;
        if (encoded_) {
            (void)key().sign(p.bytes);
            e.body = *wire::decode(p.bytes);
        }
        node::outbox out;
        deliver(p.to, e, out);
        send_outputs(p.to, out);
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
        read_platform(i);
        node::outbox out;
        tick(i, out);
        send_outputs(i, out);
    }
}

void cluster::read_platform(std::size_t i)
{
    member& m = members_[i];
    if (now_ >= m.next_list_read) {
        m.next_list_read = now_ + list_read_interval;
        read_list(i);
    }
    read_tickets(m);
}

void cluster::read_list(std::size_t i)
{
    node::instance_list l = list_;
    l.asked = now();
    ++traffic_.service_calls;
    members_[i].view->on_list(l, now());
}

void cluster::read_tickets(member& m)
{
    if (!m.read_pending) {
        if (!m.gossip->may_read(now()))
            return;
        m.read_pending = true;
        m.read_started = now_;
        ++traffic_.service_calls;
        m.gossip->on_read_started(now());
        return; // a read completes in the next step at the earliest
    }
    complete_read(m);
}

void cluster::complete_read(member& m)
{
    if (m.service == service_state::down) {
        m.read_pending = false;
        m.gossip->on_service_unavailable(now());
        return;
    }
    const std::size_t version =
        m.service == service_state::stale ? m.stale_version : published_.size();
    if (version <= m.last_read_version &&
        now_ - m.read_started < m.gossip->watch_wait())
        return;
    m.read_pending = false;
    m.last_read_version = version;
    m.gossip->on_published(
        {published_.begin(), published_.begin() + std::ptrdiff_t(version)},
        *m.book, now());
}

void cluster::deliver(std::size_t i, const protocol::envelope& e,
                      node::outbox& out)
{
    member& m = members_[i];
    m.view->on_message_from(e.from, now());
    if (const auto* h = std::get_if<protocol::heartbeat>(&e.body)) {
        m.view->on_heartbeat(e.from, *h, now(), out);
        m.gossip->on_digest(e.from, h->tickets, h->state, *m.book, now(), out);
    }
    if (const auto* d = std::get_if<protocol::ticket_digest>(&e.body))
        m.gossip->on_digest(e.from, *d, std::nullopt, *m.book, now(), out);
    if (const auto* p = std::get_if<protocol::ticket_push>(&e.body))
        m.gossip->on_push(e.from, *p, *m.book, now());
    if (const auto* p = std::get_if<protocol::ticket_pull>(&e.body))
        m.gossip->on_pull(e.from, *p, *m.book, out);
    if (const auto* s = std::get_if<protocol::suspicion_push>(&e.body))
        m.crashes->on_push(e.from, *s, now_);
}

void cluster::tick(std::size_t i, node::outbox& out)
{
    member& m = members_[i];
    m.gossip->tick(now(), *m.view, *m.book, out);
    if (m.view->own_phase() == protocol::phase::starting &&
        m.gossip->has_current_tickets(*m.view, *m.book))
        m.view->set_phase(protocol::phase::ready);
    m.view->tick(now(), m.gossip->digest(*m.book, now()), out);
    m.crashes->tick(now_, *m.view, out);
}

void cluster::send_outputs(std::size_t from, const node::outbox& out)
{
    for (const node::output& o : out) {
        const auto* m = std::get_if<node::send_message>(&o);
        if (m == nullptr)
            continue;
        const std::size_t to = std::size_t(std::stoul(m->to.str().substr(5)));
        if (cut.contains({std::min(from, to), std::max(from, to)}))
            continue;
        queued_message p{to, {{id_of(from), members_[from].run}, m->body}, {}};
        ++traffic_.messages;
        if (encoded_) {
            p.bytes = wire::encode(m->body);
            (void)key().sign(p.bytes);
            traffic_.bytes += p.bytes.size() + wire::frame_overhead;
        }
        in_flight_.push_back(std::move(p));
    }
}

} // namespace lovagegate::fleet
