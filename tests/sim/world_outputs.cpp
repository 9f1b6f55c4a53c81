#include "tests/sim/world.hpp"

#include "tests/sim/site.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::sim {

namespace {

constexpr duration lost_after = 3s;

} // namespace

void world::carry(std::size_t i, const node::start_attempt& o)
{
    slot& s = slots_[i];
    auto& c = s.calls.at(o.id);
    c.target = o.target;
    c.attempt = o.attempt;
    c.run = 0;
    record(history::sent{s.id, s.start, o.id, o.attempt, c.plan.request,
                         o.target, o.adapter});
    if (instant_of(s).mono > o.not_after) {
        attempt_over(i, s.start, o.id, o.attempt,
                     node::attempt_end::connect_failed, {});
        return;
    }
    queue_.after(settings_.link,
                 [this, i, start = s.start, o] { reach_target(i, start, o); });
}

void world::reach_target(std::size_t i, incarnation start,
                         const node::start_attempt& o)
{
    slot& s = slots_[i];
    const auto found = s.calls.find(o.id);
    if (s.start != start || !s.core || found == s.calls.end() ||
        found->second.attempt != o.attempt) {
        return;
    }
    const call_plan plan = found->second.plan;
    const std::uint64_t run = find(o.target)->run(
        plan.request, o.adapter, plan.print, plan.crashes_target,
        [this, i, o] {
            deliver(i, settings_.link, node::answer_started{o.id, o.attempt});
        },
        [this, i, start, o](node::attempt_end end, const request_id& answer) {
            attempt_over(i, start, o.id, o.attempt, end, answer);
        });
    const auto still = s.calls.find(o.id);
    if (still != s.calls.end()) {
        still->second.run = run;
        still->second.adapter = o.adapter;
    }
}

void world::attempt_over(std::size_t i, incarnation start, local_id id,
                         std::uint32_t attempt, node::attempt_end end,
                         const request_id& answer_of)
{
    slot& s = slots_[i];
    const auto found = s.calls.find(id);
    if (s.start != start || found == s.calls.end() ||
        found->second.attempt != attempt) {
        return;
    }
    found->second.run = 0;
    node::attempt_ended ended{id, attempt, end, 30ms, {}};
    if (end == node::attempt_end::completed) {
        found->second.answer_of = answer_of;
        ended.answer = {200, "text/plain", answer_of.str()};
    }
    deliver(i, settings_.link, ended);
}

void world::carry(std::size_t i, const node::cancel_attempt& o)
{
    const auto found = slots_[i].calls.find(o.id);
    if (found == slots_[i].calls.end()) {
        return;
    }
    const open_call c = found->second;
    if (c.run != 0) {
        find(c.target)->abandon(c.run);
    }
}

void world::carry(std::size_t i, const node::finish_request& o)
{
    slot& s = slots_[i];
    const auto found = s.calls.find(o.id);
    if (found == s.calls.end()) {
        return;
    }
    open_call c = found->second;
    s.calls.erase(found);
    if (o.answer) {
        c.answer_of = request_id(o.answer->body);
        c.adapter = {};
    }
    const bool completed = o.outcome == request_outcome::completed;
    record(history::answered{s.id, s.start, o.id, c.plan.request, o.outcome,
                             o.reason, completed ? c.answer_of : request_id(),
                             completed ? c.adapter : adapter_version(),
                             !completed || !c.answer_of.empty()});
    results_[c.number] = {o.outcome, o.reason};
    if (c.run != 0) {
        find(c.target)->abandon(c.run);
    }
}

void world::carry(std::size_t i, const node::send_message& o)
{
    slot& s = slots_[i];
    const std::size_t to = index_of(o.to);
    if (to >= slots_.size()) {
        return;
    }
    if (!connected(i, to)) {
        deliver(i, lost_after, node::peer_lost{o.to});
        return;
    }
    if (!slots_[to].core) {
        deliver(i, 2 * settings_.link, node::peer_lost{o.to});
        return;
    }
    if (const auto* g = std::get_if<protocol::lease_grant>(&o.body)) {
        record(history::granted{s.id, o.to, g->id, g->target, g->token});
    }
    const node::peer_message m{{{s.id, s.start}, o.body}};
    const std::size_t copies =
        chance(settings_.loss) ? 0 : (chance(settings_.doubled) ? 2 : 1);
    for (std::size_t copy = 0; copy < copies; ++copy) {
        const auto extra = static_cast<duration::rep>(
            random_() % (settings_.jitter.count() + 1));
        deliver(to, settings_.link + duration(extra), m);
    }
}

void world::carry(std::size_t i, const node::order_engine& o)
{
    slot& s = slots_[i];
    const auto answer = [this, i, o](node::order_end end, fencing_token token) {
        record(history::order_over{slots_[i].id, o.target, o.order, end});
        deliver(i, settings_.link,
                node::order_ended{o.target, o.order, end, token});
    };
    if (instant_of(s).mono > o.not_after) {
        answer(node::order_end::failed, 0);
        return;
    }
    record(history::order_given{s.id, o.target, o.order, o.kind, o.adapter,
                                o.token});
    const bool fails = o.kind == node::order_kind::load && failing_loads_ > 0;
    failing_loads_ -= fails ? 1 : 0;
    queue_.after(settings_.link, [this, o, fails, answer] {
        find(o.target)->order(o, fails, answer);
    });
}

void world::carry(std::size_t i, const node::poll_engine& o)
{
    fake_target& target = *find(o.target);
    if (!target.up()) {
        deliver(i, settings_.report_lag, node::engine_unreachable{o.target});
        return;
    }
    node::engine_report report = target.report();
    report.asked = instant_of(slots_[i]).mono;
    deliver(i, settings_.report_lag, std::move(report));
}

void world::carry(std::size_t i, const node::read_platform& o)
{
    slots_[i].reads.push_back(
        {o.part, queue_.now() + o.wait, instant_of(slots_[i])});
}

void world::carry(std::size_t /*i*/, const node::log_event& /*o*/) {}

void world::carry(std::size_t i, const node::drained& /*o*/)
{
    end(slots_[i], history::stage::exited);
}

void world::note_state(slot& s)
{
    const ticket_number highest = s.core->tickets().digest().highest;
    if (highest != s.ticket) {
        s.ticket = highest;
        record(history::ticket_in_force{s.id, s.start, highest});
    }
    if (s.core->phase() == protocol::phase::ready && !s.ready) {
        s.ready = true;
        stage(s, history::stage::ready);
    }
}

// ---- callers ----

std::uint64_t world::call(std::size_t instance, const call_plan& plan)
{
    slot& s = slots_[instance];
    if (!s.core) {
        return 0;
    }
    const local_id id = ++last_call_;
    node::caller_request r;
    r.id = id;
    r.service = service_id(plan.completion ? "drafts" : "hours");
    r.completion = plan.completion;
    r.model = plan.completion ? plan.model : "";
    r.method = plan.completion ? "" : (plan.idempotent ? "GET" : "POST");
    r.path = plan.completion ? "" : plan.path;
    r.importance = plan.importance;
    r.deadline = call_deadline;
    r.request = plan.request;
    r.issued =
        wall_time(epoch + std::chrono::duration_cast<std::chrono::milliseconds>(
                              queue_.now() - plan.issued_ago));
    r.print = plan.print;
    adapter_version asked{plan.completion ? plan.model : "", ""};
    if (const auto at = asked.adapter.find('@'); at != std::string::npos) {
        asked.version = asked.adapter.substr(at + 1);
        asked.adapter.resize(at);
    }
    record(history::received{s.id, s.start, id, plan.request, asked,
                             plan.idempotent});
    open_call c;
    c.number = id;
    c.plan = plan;
    s.calls.emplace(id, std::move(c));
    places_[id] = {instance, id};
    step(instance, r);
    return id;
}

void world::leave(std::uint64_t call_number)
{
    const auto place = places_.find(call_number);
    if (place == places_.end()) {
        return;
    }
    const auto [i, id] = place->second;
    if (slots_[i].core && slots_[i].calls.contains(id)) {
        step(i, node::caller_gone{id});
    }
}

std::size_t world::open_calls() const
{
    std::size_t open = 0;
    for (const slot& s : slots_) {
        open += s.calls.size();
    }
    return open;
}
} // namespace lovagegate::sim
