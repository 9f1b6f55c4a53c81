#include "measure/owner_policy.hpp"

#include "lovagegate/placement/rendezvous.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace lovagegate::measure {

namespace {

constexpr duration report_interval = 1s;
/// An entry repeats a request that nothing answered.
constexpr duration resend_interval = 250ms;
/// Reports are younger than their age in the scenario and this.
constexpr duration report_slack = 300ms;
/// Attempts of one request have leases of their own.
constexpr local_id most_attempts = 64;
constexpr std::uint32_t entry_start = 1;

const target_group group{"lm"};

std::string number(std::size_t i)
{
    std::string digits = std::to_string(i);
    return std::string(6 - std::min<std::size_t>(6, digits.size()), '0') +
           digits;
}

std::uint32_t adapter_index(const adapter_version& a)
{
    return static_cast<std::uint32_t>(std::stoul(a.adapter.substr(1)));
}

} // namespace

owner_policy::owner_policy(site& s, std::uint64_t seed)
    : site_(s), random_(seed ^ 0x0a7e5U), entries_(s.requests())
{
    build_state();
    build_pools();
}

void owner_policy::build_state()
{
    const deployment& d = site_.sizes();
    for (std::size_t i = 0; i < d.engines; ++i) {
        ticket::target t;
        t.group = group;
        t.domain = failure_domain("d" + number(site_.domain_of(i)));
        t.slots = d.slots;
        t.max_running = d.speed.max_batch;
        const target_id id("e" + number(i));
        state_.targets.emplace(id, t);
        engine_index_.emplace(id, i);
    }
    for (std::size_t i = 0; i < d.gateways; ++i) {
        instances_.emplace_back("i" + number(i));
        instance_index_.emplace(instances_.back(), i);
    }
    map_ = placement::pool_map(state_, d.pool_size);
    pool_of_engine_.resize(d.engines);
}

void owner_policy::build_pools()
{
    const deployment& d = site_.sizes();
    pool::pool_settings settings = d.pool;
    settings.lease.report_lag = site_.events().report_age + report_slack;
    const std::span<const instance_id> all(instances_);
    permit_instance_ = index_of(*placement::first("permits/store", all));
    for (const auto& [id, targets] : map_.all()) {
        pool_seat seat;
        const instance_id owner = *placement::first(id.str(), all);
        seat.instance = index_of(owner);
        seat.owner = std::make_unique<pool::pool_owner>(id, owner, settings,
                                                        counts_, oracle_);
        std::map<target_id, ticket::target> declared;
        for (const target_id& t : targets) {
            declared.emplace(t, state_.targets.at(t));
            seat.engines.push_back(engine_index_.at(t));
            pool_of_engine_[engine_index_.at(t)] = pools_.size();
        }
        seat.owner->set_targets(declared, time_point{});
        seat.owner->set_permit_node(instances_[permit_instance_], "store");
        pool_index_.emplace(id, pools_.size());
        pools_.push_back(std::move(seat));
    }
    permits_ = std::make_unique<permits::permit_node>(
        "store", instances_[permit_instance_], permits::permit_settings(),
        counts_);
    permits_->set_store(d.store);
    permits_->set_members(d.gateways, d.gateways, time_point{});
    permits_->set_role(true, time_point{});
}

run_results owner_policy::run()
{
    event_queue& clock = site_.clock();
    if (site_.requests() > 0)
        clock.at(site_.what(0).arrival, [this] { arrive(0); });
    for (std::size_t e = 0; e < site_.engines(); ++e)
        clock.at(time_point{} + 1ms * static_cast<int>(e % 1000),
                 [this, e] { report(e); });
    for (std::size_t p = 0; p < pools_.size(); ++p) {
        tick(p);
        renew(p);
    }
    tick_permits();
    return site_.run();
}

protocol::sender owner_policy::sender_of(std::size_t instance) const
{
    return {instances_[instance], entry_start};
}

std::size_t owner_policy::index_of(const instance_id& id) const
{
    return instance_index_.at(id);
}

void owner_policy::send(std::size_t from, std::size_t to, protocol::message m)
{
    duration delay{};
    if (from != to) {
        if (random_.uniform() < site_.events().message_loss)
            return;
        const auto link = static_cast<std::size_t>(site_.sizes().link.count());
        delay = duration(
            static_cast<duration::rep>(link + random_.below(link + 1)));
    }
    site_.clock().after(
        delay, [this, from, to, m = std::move(m)] { deliver(from, to, m); });
}

void owner_policy::deliver(std::size_t from, std::size_t to,
                           const protocol::message& m)
{
    const time_point now = site_.clock().now();
    node::outbox out;
    if (const auto* g = std::get_if<protocol::lease_grant>(&m)) {
        on_grant(to, *g);
    } else if (const auto* r = std::get_if<protocol::lease_refusal>(&m)) {
        on_refusal(*r);
    } else if (const auto* p = std::get_if<protocol::permit_request>(&m)) {
        permits_->on_permit_request(sender_of(from), *p, now, out);
        carry_out(to, 0, out);
    } else if (const auto* b = std::get_if<protocol::permit_return>(&m)) {
        permits_->on_permit_return(sender_of(from), *b, now, out);
        carry_out(to, 0, out);
    } else {
        to_owner(from, m);
    }
}

void owner_policy::to_owner(std::size_t from, const protocol::message& m)
{
    const time_point now = site_.clock().now();
    const protocol::sender sender = sender_of(from);
    node::outbox out;
    std::size_t pool = 0;
    const auto seat = [&](const pool_id& id) -> pool::pool_owner& {
        pool = pool_index_.at(id);
        return *pools_[pool].owner;
    };
    if (const auto* r = std::get_if<protocol::lease_request>(&m))
        seat(r->pool).on_lease_request(sender, *r, now, out);
    else if (const auto* e = std::get_if<protocol::lease_release>(&m))
        seat(e->pool).on_release(sender, *e, now, out);
    else if (const auto* n = std::get_if<protocol::lease_renewal>(&m))
        seat(n->pool).on_renewal(sender, *n, now, out);
    else if (const auto* c = std::get_if<protocol::lease_cancel>(&m))
        seat(c->pool).on_cancel(sender, *c, now, out);
    else if (const auto* p = std::get_if<protocol::permit_grant>(&m))
        seat(p->pool).on_permit_grant(*p, now, out);
    carry_out(pools_[pool].instance, pool, out);
}

void owner_policy::carry_out(std::size_t instance, std::size_t pool,
                             const node::outbox& out)
{
    for (const node::output& o : out) {
        if (const auto* m = std::get_if<node::send_message>(&o))
            send(instance, index_of(m->to), m->body);
        else if (const auto* order_out = std::get_if<node::order_engine>(&o))
            order(pool, *order_out);
    }
}

void owner_policy::order(std::size_t pool, const node::order_engine& o)
{
    site_.clock().after(site_.sizes().link, [this, pool, o] {
        fake_engine& e = site_.engine(engine_index_.at(o.target));
        const std::uint32_t adapter = adapter_index(o.adapter);
        if (o.kind == node::order_kind::unload) {
            const bool ok = !e.down() && e.unload(adapter);
            order_ended(pool, o,
                        ok ? node::order_end::done : node::order_end::failed);
            return;
        }
        e.load(adapter, [this, pool, o](bool ok) {
            order_ended(pool, o,
                        ok ? node::order_end::done : node::order_end::failed);
        });
    });
}

void owner_policy::order_ended(std::size_t pool, const node::order_engine& o,
                               node::order_end end)
{
    site_.clock().after(site_.sizes().link, [this, pool, o, end] {
        node::outbox out;
        pools_[pool].owner->on_order_ended({o.target, o.order, end, 0},
                                           site_.clock().now(), out);
        carry_out(pools_[pool].instance, pool, out);
    });
}

void owner_policy::arrive(std::size_t i)
{
    if (i + 1 < site_.requests())
        site_.clock().at(site_.what(i + 1).arrival,
                         [this, i] { arrive(i + 1); });
    const request& r = site_.what(i);
    site_.result(i).stalled = !site_.resident(r.adapter);
    site_.clock().at(r.deadline, [this, i] { give_up(i); });
    ask(i);
}

void owner_policy::ask(std::size_t i)
{
    entry_state& e = entries_[i];
    if (site_.result(i).ended || e.attempt + 1 >= most_attempts)
        return;
    const request& r = site_.what(i);
    const adapter_version adapter{"a" + std::to_string(r.adapter), "1"};
    const auto width = widths_.find({r.gateway, r.adapter});
    const pool_id pool = map_.choose(
        adapter, group, width == widths_.end() ? 1 : width->second, i + 1);
    e.pool = pool_index_.at(pool);
    e.lease = i * most_attempts + ++e.attempt;
    e.granted = false;
    send_request(i);
}

void owner_policy::send_request(std::size_t i)
{
    entry_state& e = entries_[i];
    const request& r = site_.what(i);
    e.asked = site_.clock().now();
    protocol::lease_request m;
    m.id = e.lease;
    m.pool = pools_[e.pool].owner->state().id;
    m.adapter = {"a" + std::to_string(r.adapter), "1"};
    m.importance = r.importance;
    m.deadline = std::max(duration::zero(), r.deadline - e.asked);
    m.excluded = e.excluded;
    send(r.gateway, pools_[e.pool].instance, std::move(m));
    if (site_.events().message_loss <= 0.0)
        return;
    site_.clock().after(resend_interval, [this, i, lease = e.lease] {
        const entry_state& now = entries_[i];
        if (now.lease == lease && !now.granted && !site_.result(i).ended)
            send_request(i);
    });
}

void owner_policy::give_up(std::size_t i)
{
    const entry_state& e = entries_[i];
    if (site_.result(i).ended || e.granted)
        return;
    site_.not_run(i, refusal::deadline_unreachable);
    protocol::lease_cancel m{e.lease, pools_[e.pool].owner->state().id};
    send(site_.what(i).gateway, pools_[e.pool].instance, std::move(m));
}

void owner_policy::on_grant(std::size_t, const protocol::lease_grant& g)
{
    const std::size_t i = g.id / most_attempts;
    entry_state& e = entries_[i];
    if (e.granted && e.lease == g.id)
        return;
    const std::size_t engine = engine_index_.at(g.target);
    leases_[g.id] = {i, e.pool, engine, {}, {}};
    if (e.lease != g.id || site_.result(i).ended) {
        release(g.id, protocol::lease_end::not_sent, {});
        return;
    }
    e.granted = true;
    if (g.width > 1)
        widths_[{site_.what(i).gateway, site_.what(i).adapter}] = g.width;
    site_.adapter_ready(i);
    site_.clock().after(site_.sizes().link, [this, i, engine, id = g.id] {
        run_on(i, engine, id);
    });
}

void owner_policy::run_on(std::size_t i, std::size_t engine, local_id lease)
{
    const request& r = site_.what(i);
    ++site_.result(i).runs;
    leases_.at(lease).sent = site_.clock().now();
    site_.engine(engine).submit(
        r.adapter, r.importance, r.tokens,
        [this, i, lease](run_event e) { ended(i, lease, e); });
}

void owner_policy::ended(std::size_t i, local_id lease, run_event e)
{
    if (e == run_event::first_token) {
        held_lease& held = leases_.at(lease);
        held.first_token = site_.clock().now() - held.sent;
        site_.first_token(i);
        return;
    }
    const held_lease held = leases_.at(lease);
    site_.clock().after(site_.sizes().link, [this, i, lease, e, held] {
        if (e == run_event::finished) {
            site_.completed(i);
            release(lease, protocol::lease_end::finished, held.first_token);
            return;
        }
        const bool missing = e == run_event::missing;
        if (missing)
            --site_.result(i).runs;
        else
            entries_[i].excluded.emplace_back("e" + number(held.engine));
        release(lease,
                missing ? protocol::lease_end::missing
                        : protocol::lease_end::crashed,
                {});
        entries_[i].granted = false;
        ask(i);
    });
}

void owner_policy::release(local_id lease, protocol::lease_end end,
                           duration first_token)
{
    const held_lease held = leases_.at(lease);
    leases_.erase(lease);
    protocol::lease_release m;
    m.pool = pools_[held.pool].owner->state().id;
    m.leases.push_back({lease, end, first_token});
    send(site_.what(held.request).gateway, pools_[held.pool].instance,
         std::move(m));
}

void owner_policy::on_refusal(const protocol::lease_refusal& r)
{
    const std::size_t i = r.id / most_attempts;
    if (entries_[i].lease == r.id && !entries_[i].granted)
        site_.not_run(i, r.reason);
}

void owner_policy::renew(std::size_t pool)
{
    std::map<std::size_t, protocol::lease_renewal> by_gateway;
    for (const auto& [id, held] : leases_) {
        if (held.pool != pool)
            continue;
        const request& r = site_.what(held.request);
        auto& m = by_gateway[r.gateway];
        m.pool = pools_[pool].owner->state().id;
        m.leases.push_back({id,
                            target_id("e" + number(held.engine)),
                            {"a" + std::to_string(r.adapter), "1"},
                            0});
    }
    for (auto& [gateway, m] : by_gateway)
        send(gateway, pools_[pool].instance, std::move(m));
    site_.clock().after(site_.sizes().pool.lease.ttl / 3,
                        [this, pool] { renew(pool); });
}

void owner_policy::report(std::size_t engine)
{
    fake_engine& e = site_.engine(engine);
    const std::size_t pool = pool_of_engine_[engine];
    node::engine_report r;
    r.target = target_id("e" + number(engine));
    r.start = e.start();
    for (const auto& held : e.resident())
        r.resident.push_back(
            {{"a" + std::to_string(held.adapter), "1"}, held.running, 0});
    const bool down = e.down();
    const duration age = down ? site_.sizes().link : site_.events().report_age;
    site_.clock().after(age, [this, pool, down, r = std::move(r)] {
        node::outbox out;
        const time_point now = site_.clock().now();
        if (down)
            pools_[pool].owner->on_unreachable(r.target, now, out);
        else
            pools_[pool].owner->on_report(r, now, out);
        carry_out(pools_[pool].instance, pool, out);
    });
    site_.clock().after(report_interval, [this, engine] { report(engine); });
}

void owner_policy::tick(std::size_t pool)
{
    const time_point now = site_.clock().now();
    node::outbox out;
    pool::pool_owner& owner = *pools_[pool].owner;
    owner.set_ownership({true, true, time_point{}, now, true}, now, out);
    owner.tick(now, out);
    carry_out(pools_[pool].instance, pool, out);
    site_.clock().after(node::tick_interval, [this, pool] { tick(pool); });
}

void owner_policy::tick_permits()
{
    node::outbox out;
    permits_->tick(site_.clock().now(), out);
    carry_out(permit_instance_, 0, out);
    site_.clock().after(node::tick_interval, [this] { tick_permits(); });
}

} // namespace lovagegate::measure
