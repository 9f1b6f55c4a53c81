// Implements the transfer of records between the previous home and the new one.
#include "lovagegate/idempotency/claim_home.hpp"
#include "lovagegate/idempotency/tenure_rule.hpp"

#include <algorithm>

namespace lovagegate::idempotency {

using protocol::claim_verdict;

namespace {

/// @return the previous home according to the list history, or, if this
/// instance joined so recently that its history holds none, the rendezvous
/// winner among the other instances of the present list
std::optional<instance_id> previous_home(const std::string& key,
                                         const membership::view& view)
{
    const auto tenure = view.own_tenure(key);
    if (!tenure)
        return std::nullopt;
    if (tenure->previous)
        return tenure->previous;
    return view.history().first_without(key, view.self());
}

} // namespace

void claim_home::request_transfer(const protocol::sender& from,
                                  const protocol::claim_request& claim,
                                  instant now, const membership::view& view,
                                  node::outbox& out)
{
    const auto waiting = transfers_.find(claim.request);
    if (waiting != transfers_.end()) {
        waiting->second.claims.push_back({from, claim});
        return;
    }
    const auto previous = previous_home(home_key(claim.request), view);
    if (!previous || *previous == self_ ||
        records_.size() + transfers_.size() >= settings_.max_records) {
        answer(from, claim.id, claim_verdict::stale, out);
        return;
    }
    counters_.add("claim_transfers_asked");
    transfers_.emplace(claim.request,
                       transfer{*previous,
                                now.mono + settings_.transfer_timeout,
                                {{from, claim}}});
    out.push_back(node::send_message{
        *previous, protocol::claim_transfer{claim.request, claim.issued,
                                            now.mono - view.started()}});
}

void claim_home::on_transfer(const protocol::sender& from,
                             const protocol::claim_transfer& t, instant now,
                             const membership::view& view, node::outbox& out)
{
    protocol::claim_transfer_answer a = hand_over(from, t, now, view);
    counters_.add("claim_transfers_answered", "verdict", to_string(a.verdict));
    out.push_back(node::send_message{from.instance, std::move(a)});
}

protocol::claim_transfer_answer
claim_home::hand_over(const protocol::sender& to,
                      const protocol::claim_transfer& t, instant now,
                      const membership::view& view)
{
    const auto it = records_.find(t.request);
    if (it == records_.end()) {
        if (!can_hand_over(to, t, now, view))
            return {t.request, false, claim_verdict::stale, {}};
        record r;
        r.state = stage::transferred;
        r.issued = t.issued;
        r.holder = to;
        insert(t.request, std::move(r));
        return {t.request, false, claim_verdict::go, {}};
    }
    record& r = it->second;
    const bool same =
        r.holder.instance == to.instance && r.holder.start == to.start;
    switch (r.state) {
    case stage::transferred:
        return {t.request,
                false,
                same ? claim_verdict::go : claim_verdict::stale,
                {}};
    case stage::done:
        return {t.request, true, claim_verdict::done, r.answer};
    case stage::running:
        return {t.request, true, claim_verdict::running, {}};
    case stage::unknown:
        break;
    }
    return {t.request, true, claim_verdict::unknown, {}};
}

bool claim_home::can_hand_over(const protocol::sender& to,
                               const protocol::claim_transfer& t, instant now,
                               const membership::view& view) const
{
    const auto& bounds = view.settings();
    if (!view.list_is_fresh(now.mono) ||
        now.wall - t.issued >= settings_.record_ttl ||
        t.issued <= expired_until_ || records_.size() >= settings_.max_records)
        return false;
    const auto own_tenure = view.history().tenure_before_successor(
        home_key(t.request), self_, to.instance);
    if (!own_tenure)
        return false;
    if (!issued_within_tenure(t.issued, own_tenure->since, now, bounds))
        return false;
    // An earlier process of the same instance could have answered `go` on its
    // own only after takeover_wait as home. The present process must have
    // started before then.
    const auto requester_tenure =
        view.history().tenure_of(home_key(t.request), to.instance);
    return !requester_tenure ||
           t.uptime + bounds.list_fresh >= now.mono - requester_tenure->since;
}

void claim_home::on_transfer_answer(const protocol::sender& from,
                                    const protocol::claim_transfer_answer& a,
                                    instant /*now*/,
                                    const membership::view& /*view*/,
                                    node::outbox& out)
{
    const auto it = transfers_.find(a.request);
    if (it == transfers_.end() || it->second.source != from.instance) {
        counters_.add("claim_transfers_unmatched");
        return;
    }
    const transfer t = std::move(it->second);
    transfers_.erase(it);
    if (a.verdict == claim_verdict::stale) {
        for (const waiting_claim& w : t.claims)
            answer(w.from, w.claim.id, claim_verdict::stale, out);
        return;
    }
    import_record(a.request, t.claims.front(), a);
    for (const waiting_claim& w : t.claims)
        answer_from_record(w.from, w.claim, records_.at(a.request), true, out);
}

void claim_home::import_record(const request_id& id, const waiting_claim& first,
                               const protocol::claim_transfer_answer& a)
{
    record r;
    r.issued = first.claim.issued;
    if (a.verdict == claim_verdict::go) {
        r.print = first.claim.print;
        r.holder = first.from;
        r.claim = first.claim.id;
    } else {
        // The result of a running claim is sent to the previous home, so its
        // outcome stays unknown here.
        r.state =
            a.verdict == claim_verdict::done ? stage::done : stage::unknown;
    }
    insert(id, std::move(r));
    if (a.verdict == claim_verdict::done)
        store_answer(records_.find(id), a.answer);
}

} // namespace lovagegate::idempotency
