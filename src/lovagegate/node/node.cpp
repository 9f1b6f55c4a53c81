#include "lovagegate/node/node.hpp"

#include <utility>

namespace lovagegate::node {
namespace {

/// XORed with the seed, so that the components use different random numbers.
constexpr std::uint64_t view_seed_mask = 0x76696577U;
constexpr std::uint64_t gossip_seed_mask = 0x676f7373U;
constexpr std::uint64_t router_seed_mask = 0x726f7574U;

/// Limit on messages of an instance to itself within one step. Stops two
/// components that answer each other endlessly.
constexpr std::size_t max_self_deliveries = 10'000;

} // namespace

node::node(const node_settings& settings, instance_id self, incarnation start,
           std::uint64_t seed, instant now)
    : settings_(settings), self_(std::move(self)), start_(start), now_(now),
      ticket_book_(counters_), view_(self_, settings_.membership, counters_,
                                     seed ^ view_seed_mask, now.mono),
      gossip_(settings_.gossip, counters_, seed ^ gossip_seed_mask),
      claim_home_(self_, settings_.claims, counters_),
      crashes_(settings_.quarantine, counters_),
      pools_(self_, settings_, counters_, crashes_),
      permits_(self_, settings_.permits, counters_),
      list_schedule_(settings_.list),
      router_(settings_.routing, *this, counters_, seed ^ router_seed_mask)
{
}

void node::step(const input& in, instant now, outbox& out)
{
    if (now.mono - now_.mono > settings_.membership.pause_threshold) {
        counters_.add("pauses");
        pools_.on_resumed(now.mono);
    }
    now_ = now;
    const std::size_t first = out.size();
    dispatch(in, now, out);
    deliver_to_self(now, out, first);
}

void node::dispatch(const input& in, instant now, outbox& out)
{
    std::visit([&](const auto& i) { on(i, now, out); }, in);
}

void node::deliver_to_self(instant now, outbox& out, std::size_t from)
{
    std::size_t delivered = 0;
    for (std::size_t i = from; i < out.size();) {
        const auto* sent = std::get_if<send_message>(&out[i]);
        if (sent == nullptr || sent->to != self_) {
            ++i;
            continue;
        }
        const protocol::message body = sent->body;
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
        if (++delivered > max_self_deliveries) {
            counters_.add("self_deliveries_dropped");
            continue;
        }
        const sender me{self_, start_};
        std::visit([&](const auto& m) { receive(me, m, now, out); }, body);
    }
}

void node::on(const caller_request& in, instant now, outbox& out)
{
    routing::admission state = routing::admission::open;
    if (phase_ == protocol::phase::leaving)
        state = routing::admission::stopping;
    else if (phase_ == protocol::phase::starting)
        state = routing::admission::not_ready;
    router_.on_request(in, state, now.mono, out);
}

void node::on(const caller_gone& in, instant, outbox& out)
{
    router_.on_caller_gone(in.id, out);
}

void node::on(const answer_started& in, instant, outbox&)
{
    router_.on_answer_started(in);
}

void node::on(const attempt_ended& in, instant now, outbox& out)
{
    router_.on_attempt_ended(in, now.mono, out);
}

void node::on(const peer_message& in, instant now, outbox& out)
{
    const sender& from = in.envelope.from;
    if (view_.on_message_from(from, now)) {
        // The peer restarted: the new process knows nothing of the claims and
        // leases of its predecessor.
        claim_home_.on_peer_gone(from.instance);
        pools_.on_peer_restarted(from.instance, now.mono);
    }
    std::visit([&](const auto& m) { receive(from, m, now, out); },
               in.envelope.body);
    refresh(now, out);
}

void node::on(const peer_lost& in, instant now, outbox& out)
{
    view_.on_connection_failed(in.peer, now);
    refresh(now, out);
}

void node::on(const engine_report& in, instant now, outbox& out)
{
    const bool stale = in.asked != time_point{} &&
                       now.mono - in.asked > settings_.max_report_age;
    if (stale) {
        counters_.add("engine_reports_stale");
        return;
    }
    pools_.on_report(in, now.mono, out);
}

void node::on(const engine_unreachable& in, instant now, outbox& out)
{
    pools_.on_unreachable(in.target, now.mono, out);
}

void node::on(const order_ended& in, instant now, outbox& out)
{
    pools_.on_order_ended(in, now.mono, out);
}

void node::on(const instance_list& in, instant now, outbox& out)
{
    view_.on_list(in, now);
    list_schedule_.on_read_answered(true, now.mono);
    refresh(now, out);
}

void node::on(const published_tickets& in, instant now, outbox& out)
{
    ticket_read_pending_ = false;
    gossip_.on_published(in.tickets, ticket_book_, now);
    refresh(now, out);
}

void node::on(const platform_unavailable& in, instant now, outbox&)
{
    counters_.add("platform_unavailable", "part",
                  in.part == platform_part::tickets ? "tickets" : "instances");
    if (in.part == platform_part::tickets) {
        ticket_read_pending_ = false;
        gossip_.on_service_unavailable(now);
    } else {
        view_.on_list_unavailable(now);
        list_schedule_.on_read_answered(false, now.mono);
    }
}

void node::on(const tick&, instant now, outbox& out)
{
    view_.tick(now, gossip_.digest(ticket_book_, now), out);
    gossip_.tick(now, view_, ticket_book_, out);
    read_platform_services(now, out);
    leave_starting_phase(now, out);
    refresh(now, out);
    crashes_.tick(now.mono, view_, out);
    claim_home_.tick(now, out);
    permits_.tick(now.mono, out);
    pools_.tick(ticket_book_.state(), now.mono, out);
    router_.tick(now.mono, out);
    finish_drain(now, out);
}

void node::on(const stop_requested&, instant now, outbox& out)
{
    if (phase_ == protocol::phase::leaving)
        return;
    phase_ = protocol::phase::leaving;
    stop_requested_at_ = now.mono;
    view_.set_phase(phase_);
    out.emplace_back(log_event{
        "stopping", {{"open_requests", std::to_string(router_.open())}}});
    pools_.send_handovers(view_, now.mono, out);
    refresh(now, out);
}

void node::refresh(instant now, outbox& out)
{
    pools_.refresh(ticket_book_.state(), ticket_book_.revision(), view_,
                   now.mono, out);
    permits_.refresh(ticket_book_.state(), ticket_book_.revision(), view_,
                     now.mono);
}

void node::leave_starting_phase(instant, outbox& out)
{
    if (phase_ != protocol::phase::starting || view_.listed().empty() ||
        !gossip_.has_current_tickets(view_, ticket_book_))
        return;
    phase_ = protocol::phase::ready;
    view_.set_phase(phase_);
    out.emplace_back(log_event{
        "ready", {{"ticket", std::to_string(ticket_book_.digest().highest)}}});
}

void node::read_platform_services(instant now, outbox& out)
{
    list_schedule_.tick(view_.listed().size(), view_.list_superseded(now.mono),
                        now.mono, out);
    if (ticket_read_pending_ || !gossip_.may_read(now))
        return;
    ticket_read_pending_ = true;
    gossip_.on_read_started(now);
    out.emplace_back(
        read_platform{platform_part::tickets, gossip_.watch_wait()});
}

void node::finish_drain(instant now, outbox& out)
{
    if (phase_ != protocol::phase::leaving || drained_ || router_.open() > 0 ||
        now.mono < stop_requested_at_ + settings_.leave_propagation_time)
        return;
    drained_ = true;
    out.emplace_back(drained{});
}

node_status node::status() const
{
    node_status s;
    s.instance = self_;
    s.phase = phase_;
    s.listed_instances = view_.listed().size();
    s.usable_instances = usable_instances();
    s.tickets = ticket_book_.digest();
    s.refused_tickets.assign(ticket_book_.refusals().begin(),
                             ticket_book_.refusals().end());
    for (const auto& [pool, targets] : pools_.map().all())
        s.pools.push_back({pool, pools_.owner_of(pool).value_or(instance_id{}),
                           targets.size()});
    s.owned = pools_.status();
    s.open_requests = router_.open_by_service();
    s.quarantined = crashes_.quarantined().size();
    return s;
}

const ticket::declared_state& node::declared() const
{
    return ticket_book_.state();
}

pool_id node::choose_pool(const target_group& group,
                          const adapter_version& adapter, std::uint32_t width,
                          fingerprint print) const
{
    const auto it = ticket_book_.state().adapters.find(adapter.adapter);
    const std::string_view model = it == ticket_book_.state().adapters.end()
                                       ? std::string_view{}
                                       : std::string_view(it->second.model);
    return pools_.map().choose(adapter, group, width, print, model);
}

std::optional<instance_id> node::owner_of(const pool_id& pool) const
{
    return pools_.owner_of(pool);
}

std::optional<instance_id> node::home_of(const request_id& request) const
{
    return view_.first_listed(idempotency::home_key(request));
}

bool node::quarantined(fingerprint print) const
{
    return crashes_.is_quarantined(print);
}

std::uint32_t node::crash_count(fingerprint print) const
{
    return crashes_.count(print);
}

std::size_t node::usable_instances() const
{
    std::size_t n = 0;
    for (const listed_instance& i : view_.listed())
        n += view_.usable(i.id) ? 1 : 0;
    return n;
}

void node::report_crash(const protocol::suspicion& crash)
{
    counters_.add("target_crashes_seen");
    if (crashes_.on_crash(crash, now_.mono))
        pools_.on_suspicions(std::span(&crash, 1), now_.mono);
}

void node::report_unresponsive(const instance_id& instance)
{
    counters_.add("peers_silent");
    if (instance != self_)
        view_.on_request_timeout(instance, now_);
}

} // namespace lovagegate::node
