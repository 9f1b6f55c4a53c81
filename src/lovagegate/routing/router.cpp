#include "lovagegate/routing/router.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::routing {
namespace {

/// Constant that separates the random streams of the router's parts.
constexpr std::uint64_t balancer_stream = 0x706c61696eU;

protocol::lease_end lease_end_of(node::attempt_end end) noexcept
{
    using node::attempt_end;
    switch (end) {
    case attempt_end::completed:
        return protocol::lease_end::finished;
    case attempt_end::not_run:
        return protocol::lease_end::not_sent;
    case attempt_end::adapter_missing:
        return protocol::lease_end::missing;
    case attempt_end::broken:
        return protocol::lease_end::crashed;
    case attempt_end::cancelled: // the engine may not have noticed yet
    case attempt_end::connect_failed:
    case attempt_end::timed_out:
    case attempt_end::mismatched:
    case attempt_end::error_answer:
        return protocol::lease_end::failed;
    }
    return protocol::lease_end::failed;
}

/// Whether the failure speaks against the target itself.
bool excludes_target(retry_reason reason) noexcept
{
    return reason != retry_reason::adapter_missing &&
           reason != retry_reason::lease_expired &&
           reason != retry_reason::owner_changed &&
           reason != retry_reason::owner_timeout;
}

std::size_t share_of(std::size_t limit, std::size_t instances) noexcept
{
    const std::size_t n = std::max<std::size_t>(instances, 1);
    return (limit + n - 1) / n;
}

} // namespace

router::router(const routing_settings& settings, environment& env,
               counters& count, std::uint64_t seed)
    : settings_(settings), env_(env), counters_(count),
      leases_(settings, env, count), plain_(settings, seed ^ balancer_stream),
      budget_(settings), random_(seed)
{
}

void router::on_request(node::caller_request call, admission state,
                        time_point now, node::outbox& out)
{
    if (state != admission::open) {
        refuse(call,
               state == admission::stopping ? refusal::stopping
                                            : refusal::not_ready,
               out);
        return;
    }
    auto resolved = resolve(call, env_.declared());
    if (const refusal* reason = std::get_if<refusal>(&resolved)) {
        refuse(call, *reason, out);
        return;
    }
    open_request r;
    r.resolved = std::get<resolved_request>(std::move(resolved));
    r.call = std::move(call);
    const auto rank = static_cast<std::size_t>(r.resolved.importance);
    r.deadline =
        now + std::min(settings_.max_deadline,
                       r.call.deadline.value_or(settings_.deadlines.at(rank)));
    if (const refusal reason = admit(r); reason != refusal::none) {
        refuse(r.call, reason, out);
        return;
    }
    counters_.add("requests_accepted");
    budget_.on_first_try();
    ++open_by_service_[r.resolved.service];
    const local_id id = r.call.id;
    open_request& stored = requests_.emplace(id, std::move(r)).first->second;
    advance(stored, now, out);
}

refusal router::admit(const open_request& r) const
{
    if (env_.quarantined(r.call.print))
        return refusal::quarantined;
    if (!r.resolved.idempotent && (!r.call.request || !r.call.issued))
        return refusal::request_id_required;
    if (r.resolved.max_open == 0)
        return refusal::none;
    const auto it = open_by_service_.find(r.resolved.service);
    const std::size_t open = it == open_by_service_.end() ? 0 : it->second;
    return open < share_of(r.resolved.max_open, env_.usable_instances())
               ? refusal::none
               : refusal::service_limit;
}

void router::advance(open_request& r, time_point now, node::outbox& out)
{
    if (env_.quarantined(r.call.print))
        give_up(r, refusal::quarantined, out);
    else if (!r.resolved.idempotent && !r.claimed)
        ask_claim(r, now, out);
    else if (r.call.completion)
        ask_lease(r, now, out);
    else
        start_plain(r, now, out);
}

void router::ask_claim(open_request& r, time_point now, node::outbox& out)
{
    const std::optional<instance_id> home = env_.home_of(*r.call.request);
    if (!home || r.claim_tries >= settings_.claim_tries) {
        give_up(r, refusal::home_unreachable, out);
        return;
    }
    ++r.claim_tries;
    r.stage = request_stage::claiming;
    r.wake = now + settings_.claim_repeat;
    r.homes.insert(*home);
    out.emplace_back(node::send_message{
        *home, protocol::claim_request{r.call.id, *r.call.request,
                                       *r.call.issued, r.call.print}});
}

void router::on_claim_answer(const protocol::claim_answer& answer,
                             time_point now, node::outbox& out)
{
    const auto it = requests_.find(answer.id);
    if (it == requests_.end() || it->second.stage != request_stage::claiming)
        return;
    open_request& r = it->second;
    counters_.add("claims", "verdict", to_string(answer.verdict));
    if (answer.verdict == protocol::claim_verdict::go) {
        r.claimed = true;
        advance(r, now, out);
        return;
    }
    end_claim(r, answer, out);
}

void router::end_claim(open_request& r, const protocol::claim_answer& answer,
                       node::outbox& out)
{
    switch (answer.verdict) {
    case protocol::claim_verdict::go:
    case protocol::claim_verdict::not_home: // asked again at r.wake
        return;
    case protocol::claim_verdict::full:
        give_up(r, refusal::queue_full, out);
        return;
    case protocol::claim_verdict::conflict:
        // Another body under a known id: this body provably never ran.
        give_up(r, refusal::request_id_conflict, out);
        return;
    case protocol::claim_verdict::running:
        end_unknown(r, refusal::request_running, out);
        return;
    case protocol::claim_verdict::stale:
        end_unknown(r, refusal::request_id_stale, out);
        return;
    case protocol::claim_verdict::unknown:
        end_unknown(r, refusal::none, out);
        return;
    case protocol::claim_verdict::done:
        finish(r,
               {r.call.id,
                request_outcome::completed,
                refusal::none,
                {},
                answer.answer},
               out);
        return;
    }
}

void router::end_unknown(open_request& r, refusal reason, node::outbox& out)
{
    // The id has run, runs or may have run: a caller that is told "not run"
    // would ask again under a new id.
    finish(r,
           {r.call.id,
            request_outcome::unknown,
            reason,
            settings_.retry_after,
            {}},
           out);
}

void router::ask_lease(open_request& r, time_point now, node::outbox& out)
{
    r.stage = request_stage::leasing;
    const refusal reason = leases_.ask(
        r.call.id,
        {r.resolved.group, r.resolved.adapter, r.resolved.importance,
         r.deadline, r.call.print, r.call.prefix, r.excluded},
        now, out);
    if (reason == refusal::none)
        return;
    r.last_refusal = reason;
    try_again(r, retry_reason::owner_changed, now, out);
}

void router::on_grant(const instance_id& from,
                      const protocol::lease_grant& grant, time_point now,
                      node::outbox& out)
{
    std::vector<lost_lease> lost;
    const auto usable = leases_.on_grant(from, grant, now, lost);
    for (const lost_lease& l : lost)
        try_again(requests_.at(l.request), l.reason, now, out);
    if (!usable)
        return;
    open_request& r = requests_.at(usable->request);
    // It may have been quarantined while it waited for the lease.
    if (env_.quarantined(r.call.print)) {
        leases_.end(r.call.id, protocol::lease_end::not_sent, {}, out);
        give_up(r, refusal::quarantined, out);
        return;
    }
    r.target_start = usable->target_start;
    start(r, usable->target, usable->send_by, now, out);
}

void router::on_refusal(const protocol::lease_refusal& answer, time_point now,
                        node::outbox& out)
{
    const auto refused = leases_.on_refusal(answer);
    if (!refused)
        return;
    open_request& r = requests_.at(refused->request);
    r.last_refusal = refused->reason;
    r.retry_after = refused->retry_after;
    if (refused->reason == refusal::owner_unreachable)
        try_again(r, retry_reason::owner_changed, now, out);
    else
        give_up(r, refused->reason, out);
}

void router::on_queued(const protocol::lease_queued& answer, time_point now)
{
    leases_.on_queued(answer, now);
}

void router::start_plain(open_request& r, time_point now, node::outbox& out)
{
    const auto target =
        plain_.choose(env_.declared(), r.resolved.group, r.excluded, now);
    if (!target) {
        give_up(r, refusal::no_target, out);
        return;
    }
    plain_.on_started(*target);
    start(r, *target, r.deadline, now, out);
}

void router::start(open_request& r, const target_id& target,
                   time_point not_after, time_point now, node::outbox& out)
{
    const auto& targets = env_.declared().targets;
    const auto it = targets.find(target);
    if (it == targets.end() || it->second.leaving) {
        leases_.end(r.call.id, protocol::lease_end::not_sent, {}, out);
        r.last_refusal = refusal::no_target;
        try_again(r, retry_reason::owner_changed, now, out);
        return;
    }
    r.stage = request_stage::running;
    r.target = target;
    ++r.attempt;
    node::start_attempt a;
    a.id = r.call.id;
    a.attempt = r.attempt;
    a.target = target;
    a.address = it->second.address;
    a.port = it->second.port;
    a.adapter = r.resolved.adapter;
    if (r.call.request)
        a.request = *r.call.request;
    a.time_left = r.deadline - now;
    a.not_after = std::min(not_after, r.deadline);
    a.keep_answer = r.claimed;
    out.emplace_back(std::move(a));
}

void router::on_answering(const node::target_answering& progress)
{
    const auto it = requests_.find(progress.id);
    if (it != requests_.end() && it->second.attempt == progress.attempt)
        it->second.answering = true;
}

void router::on_attempt_ended(const node::attempt_ended& end, time_point now,
                              node::outbox& out)
{
    const auto it = requests_.find(end.id);
    if (it == requests_.end() || it->second.attempt != end.attempt ||
        it->second.stage != request_stage::running) {
        counters_.add("late_attempt_ends");
        return;
    }
    open_request& r = it->second;
    release_target(r, end, now, out);
    if (end.end == node::attempt_end::completed) {
        settle_claim(r, request_outcome::completed, end.answer, out);
        finish(r,
               {r.call.id, request_outcome::completed, refusal::none, {}, {}},
               out);
        return;
    }
    const attempt_verdict verdict =
        judge(end.end, r.resolved.idempotent, r.answering);
    r.may_have_run = r.may_have_run || verdict.may_have_run;
    if (verdict.retry == retry_reason::none) {
        give_up(r, refusal::retries_exhausted, out);
        return;
    }
    if (excludes_target(verdict.retry))
        r.excluded.push_back(r.target);
    try_again(r, verdict.retry, now, out);
}

void router::release_target(const open_request& r,
                            const node::attempt_ended& end, time_point now,
                            node::outbox& out)
{
    using node::attempt_end;
    if (!r.call.completion) {
        const bool healthy = end.end == attempt_end::completed ||
                             end.end == attempt_end::cancelled ||
                             end.end == attempt_end::not_run;
        plain_.on_ended(r.target, healthy, now);
    } else {
        leases_.end(r.call.id, lease_end_of(end.end), end.first_token, out);
    }
    if (end.end == attempt_end::broken)
        env_.report_crash({r.call.print, r.target, r.target_start});
}

void router::try_again(open_request& r, retry_reason reason, time_point now,
                       node::outbox& out)
{
    ++r.tries;
    counters_.add("retries", "reason", to_string(reason));
    if (r.attempt >= settings_.max_attempts) {
        give_up(r, refusal::retries_exhausted, out);
        return;
    }
    // Asking another owner costs a target nothing: only attempts are counted
    // against the budget.
    const bool attempted = r.stage == request_stage::running;
    if (attempted && !budget_.take()) {
        give_up(r, refusal::retry_budget, out);
        return;
    }
    r.stage = request_stage::paused;
    r.wake = now + backoff(settings_, r.tries, random_());
    if (r.wake >= r.deadline)
        give_up(r,
                r.last_refusal == refusal::none ? refusal::deadline_unreachable
                                                : r.last_refusal,
                out);
}

void router::tick(time_point now, node::outbox& out)
{
    for (const lost_lease& l : leases_.tick(now, out))
        try_again(requests_.at(l.request), l.reason, now, out);
    std::vector<local_id> due;
    for (const auto& [id, r] : requests_)
        if (now >= r.deadline ||
            (now >= r.wake && (r.stage == request_stage::paused ||
                               r.stage == request_stage::claiming)))
            due.push_back(id);
    // Ascending, so that the order does not depend on the hash table.
    std::sort(due.begin(), due.end());
    for (const local_id id : due)
        if (const auto it = requests_.find(id); it != requests_.end())
            tick_request(it->second, now, out);
}

void router::tick_request(open_request& r, time_point now, node::outbox& out)
{
    if (now < r.deadline) {
        advance(r, now, out);
        return;
    }
    // A running attempt has the same deadline and ends by itself.
    if (r.stage == request_stage::running)
        return;
    give_up(r,
            r.last_refusal == refusal::none ? refusal::deadline_unreachable
                                            : r.last_refusal,
            out);
}

void router::on_caller_gone(local_id id, node::outbox& out)
{
    const auto it = requests_.find(id);
    if (it == requests_.end())
        return;
    open_request& r = it->second;
    counters_.add("callers_gone");
    // A call that may not be repeated goes on, so that its home learns the
    // answer for a caller that asks again.
    if (!r.resolved.idempotent && r.claimed)
        return;
    if (r.stage == request_stage::running) {
        out.emplace_back(node::cancel_attempt{id, r.attempt});
        if (!r.call.completion)
            plain_.on_ended(r.target, true, {});
        r.may_have_run = true;
    }
    give_up(r, refusal::caller_gone, out);
}

void router::give_up(open_request& r, refusal reason, node::outbox& out)
{
    const request_outcome outcome =
        r.may_have_run ? request_outcome::unknown : request_outcome::not_run;
    settle_claim(r, outcome, std::nullopt, out);
    const duration wait = r.retry_after > duration::zero()
                              ? r.retry_after
                              : settings_.retry_after;
    finish(r, {r.call.id, outcome, reason, wait, {}}, out);
}

void router::settle_claim(const open_request& r, request_outcome outcome,
                          const std::optional<protocol::stored_answer>& answer,
                          node::outbox& out)
{
    // Also a home whose answer is still under way: it may be "go", and the
    // home must learn that this request will not use it.
    for (const instance_id& home : r.homes)
        out.emplace_back(node::send_message{
            home, protocol::claim_result{r.call.id, *r.call.request, outcome,
                                         answer}});
}

void router::finish(open_request& r, node::finish_request end,
                    node::outbox& out)
{
    // A no-op when the lease has been given back already.
    leases_.end(r.call.id, protocol::lease_end::finished, {}, out);
    counters_.add("requests_ended", "outcome", to_string(end.outcome));
    if (end.reason != refusal::none)
        counters_.add("refusals", "reason", to_string(end.reason));
    const local_id id = end.id;
    out.emplace_back(std::move(end));
    remove(id);
}

void router::refuse(const node::caller_request& call, refusal reason,
                    node::outbox& out)
{
    counters_.add("requests_ended", "outcome",
                  to_string(request_outcome::not_run));
    counters_.add("refusals", "reason", to_string(reason));
    out.emplace_back(node::finish_request{
        call.id, request_outcome::not_run, reason, settings_.retry_after, {}});
}

void router::remove(local_id id)
{
    const auto it = requests_.find(id);
    const auto open = open_by_service_.find(it->second.resolved.service);
    if (--open->second == 0)
        open_by_service_.erase(open);
    requests_.erase(it);
}

} // namespace lovagegate::routing
