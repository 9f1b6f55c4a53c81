#include "lovagegate/idempotency/claim_home.hpp"

#include "lovagegate/idempotency/tenure_rule.hpp"

#include <algorithm>

namespace lovagegate::idempotency {

using protocol::claim_verdict;

std::string home_key(const request_id& r)
{
    return "requests/" + r.str();
}

claim_home::claim_home(instance_id self, claim_settings s, counters& c)
    : self_(std::move(self)), settings_(s), counters_(c)
{
}

void claim_home::answer(const protocol::sender& to, local_id id,
                        claim_verdict verdict, node::outbox& out,
                        std::optional<protocol::stored_answer> stored)
{
    counters_.add("home_verdicts", "verdict", to_string(verdict));
    out.push_back(node::send_message{
        to.instance, protocol::claim_answer{id, verdict, std::move(stored)}});
}

void claim_home::on_claim(const protocol::sender& from,
                          const protocol::claim_request& claim, instant now,
                          const membership::view& view, node::outbox& out)
{
    const auto& bounds = view.settings();
    const auto tenure = view.own_tenure(home_key(claim.request));
    const auto known = records_.find(claim.request);
    if (known != records_.end()) {
        answer_from_record(from, claim, known->second, tenure.has_value(), out);
        return;
    }
    if (!tenure || !view.list_is_fresh(now.mono)) {
        answer(from, claim.id, claim_verdict::not_home, out);
        return;
    }
    const duration age = now.wall - claim.issued;
    if (age >= settings_.record_ttl || age < -bounds.clock_skew ||
        claim.issued <= expired_until_) {
        answer(from, claim.id, claim_verdict::stale, out);
        return;
    }
    if (!issued_within_tenure(claim.issued, tenure->since, now, bounds)) {
        request_transfer(from, claim, now, view, out);
        return;
    }
    grant_run(from, claim, out);
}

void claim_home::answer_from_record(const protocol::sender& from,
                                    const protocol::claim_request& claim,
                                    const record& r, bool is_home,
                                    node::outbox& out)
{
    const bool same_claim = r.holder.instance == from.instance &&
                            r.holder.start == from.start && r.claim == claim.id;
    if (r.issued != claim.issued)
        counters_.add("claim_issue_times_changed");
    if (r.state == stage::transferred) // the new home may be lost
        answer(from, claim.id,
               is_home ? claim_verdict::unknown : claim_verdict::not_home, out);
    else if (r.print != claim.print && r.print != 0)
        answer(from, claim.id, claim_verdict::conflict, out);
    else if (r.state == stage::unknown)
        answer(from, claim.id, claim_verdict::unknown, out);
    else if (r.state == stage::done)
        answer(from, claim.id, claim_verdict::done, out, r.answer);
    else // a repeat of the same claim after its answer was lost
        answer(from, claim.id,
               same_claim ? claim_verdict::go : claim_verdict::running, out);
}

void claim_home::grant_run(const protocol::sender& from,
                           const protocol::claim_request& claim,
                           node::outbox& out)
{
    if (records_.size() >= settings_.max_records) {
        answer(from, claim.id, claim_verdict::full, out);
        return;
    }
    record r;
    r.print = claim.print;
    r.issued = claim.issued;
    r.holder = from;
    r.claim = claim.id;
    insert(claim.request, std::move(r));
    answer(from, claim.id, claim_verdict::go, out);
}

claim_home::record& claim_home::insert(const request_id& id, record r)
{
    by_issue_time_.emplace(r.issued, id);
    return records_.insert_or_assign(id, std::move(r)).first->second;
}

void claim_home::on_result(const protocol::sender& from,
                           const protocol::claim_result& result,
                           instant /*now*/)
{
    const auto it = records_.find(result.request);
    if (it == records_.end())
        return;
    record& r = it->second;
    const bool holds = r.holder.instance == from.instance &&
                       r.holder.start == from.start && r.claim == result.id &&
                       r.state != stage::transferred && r.state != stage::done;
    if (!holds) {
        counters_.add("claim_results_unmatched");
        return;
    }
    switch (result.outcome) {
    case request_outcome::not_run:
        erase(it);
        return;
    case request_outcome::completed:
        r.state = stage::done;
        store_answer(it, result.answer);
        return;
    case request_outcome::unknown:
        r.state = stage::unknown;
        return;
    }
}

void claim_home::store_answer(record_map::iterator it,
                              std::optional<protocol::stored_answer> stored)
{
    if (!stored || stored->body.size() > settings_.max_answer_bytes)
        return;
    answer_bytes_ += stored->body.size();
    it->second.answer = std::move(stored);
    stored_answer_order_.push_back(it->first);
    while (answer_bytes_ > settings_.max_total_answer_bytes) {
        const auto oldest = records_.find(stored_answer_order_.front());
        stored_answer_order_.pop_front();
        if (oldest != records_.end())
            discard_answer(oldest->second);
    }
}

void claim_home::discard_answer(record& r)
{
    if (!r.answer)
        return;
    answer_bytes_ -= r.answer->body.size();
    r.answer.reset();
}

void claim_home::on_peer_gone(const instance_id& peer)
{
    for (auto& [id, r] : records_)
        if (r.state == stage::running && r.holder.instance == peer)
            r.state = stage::unknown;
}

void claim_home::tick(instant now, node::outbox& out)
{
    for (auto it = transfers_.begin(); it != transfers_.end();) {
        if (it->second.until > now.mono) {
            ++it;
            continue;
        }
        for (const waiting_claim& w : it->second.claims)
            answer(w.from, w.claim.id, claim_verdict::stale, out);
        it = transfers_.erase(it);
    }
    expire_records(now);
}

void claim_home::expire_records(instant now)
{
    const wall_time limit =
        now.wall - std::chrono::duration_cast<std::chrono::milliseconds>(
                       settings_.record_ttl);
    while (!by_issue_time_.empty() && by_issue_time_.begin()->first < limit) {
        // An id as old as an expired one is never assumed to be new, even if
        // the wall clock is set back.
        expired_until_ =
            std::max(expired_until_, by_issue_time_.begin()->first);
        erase(records_.find(by_issue_time_.begin()->second));
    }
    while (!stored_answer_order_.empty() &&
           !records_.contains(stored_answer_order_.front()))
        stored_answer_order_.pop_front();
}

void claim_home::erase(record_map::iterator it)
{
    discard_answer(it->second);
    auto [i, last] = by_issue_time_.equal_range(it->second.issued);
    while (i != last && i->second != it->first)
        ++i;
    if (i != last)
        by_issue_time_.erase(i);
    records_.erase(it);
}

} // namespace lovagegate::idempotency
