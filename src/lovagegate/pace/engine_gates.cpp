#include "lovagegate/pace/engine_gates.hpp"

#include <algorithm>

namespace lovagegate::pace {

namespace {

/// An engine that was listed this long ago, or longer, has ended its slow start
/// under another owner.
constexpr duration slow_start_age = 5s;
/// Time without an answered poll of its report, five polls, after which an
/// engine counts as silent.
constexpr duration silence_timeout = 2s;
/// Time after which a run that is no longer listed is forgotten.
constexpr duration listed_run_ttl = 60s;

} // namespace

void engine_gates::on_listed(const std::string& engine, std::int64_t started_ms,
                             bool known_at_start, time_point now)
{
    listed_run& run = runs_[engine];
    if (run.first_seen == time_point{} || run.started_ms != started_ms)
        run = {started_ms, known_at_start, now, now};
    run.last_seen = now;
}

engine_gate::start_kind engine_gates::kind_of(const owned_engine& e,
                                              time_point now) const
{
    const auto run = runs_.find(e.id);
    const bool established = run == runs_.end() || run->second.known_at_start ||
                             now - run->second.first_seen > slow_start_age;
    return established ? engine_gate::start_kind::established
                       : engine_gate::start_kind::started;
}

std::vector<engine_gates::change>
engine_gates::update(std::span<const owned_engine> engines, time_point now)
{
    std::erase_if(gates_, [&](const auto& g) {
        return std::ranges::find(engines, g.first, &owned_engine::id) ==
               engines.end();
    });
    std::erase_if(runs_, [&](const auto& r) {
        return now - r.second.last_seen > listed_run_ttl;
    });
    std::vector<change> changes;
    for (const auto& e : engines) {
        auto it = gates_.find(e.id);
        if (it != gates_.end() &&
            (it->second.facts.started_ms != e.started_ms ||
             it->second.facts.slots != e.slots)) {
            gates_.erase(it); // requests to the earlier run have ended
            it = gates_.end();
        }
        if (it == gates_.end())
            it = gates_
                     .emplace(e.id,
                              owned{e, engine_gate(e.slots, kind_of(e, now),
                                                   now, settings_)})
                     .first;
        owned& o = it->second;
        o.facts = e;
        o.gate.tick(now);
        if (e.last_report && now - *e.last_report > silence_timeout)
            o.gate.restart(now);
        if (o.gate.in_slow_start() == o.logged_slow_start)
            continue;
        o.logged_slow_start = o.gate.in_slow_start();
        changes.push_back(
            {e.id, o.logged_slow_start, o.gate.pace(), o.gate.open()});
    }
    return changes;
}

gateway::run_reply engine_gates::on_request(const std::string& from,
                                            const gateway::run_request& ask,
                                            time_point now)
{
    using gateway::run_verdict;
    gateway::run_reply reply{ask.number, ask.engine, run_verdict::not_owner, 0,
                             0};
    const auto it = gates_.find(ask.engine);
    if (it == gates_.end())
        return reply;
    const auto decision = it->second.gate.ask(
        from,
        {ask.number, ask.priority, ask.prompt_tokens, ask.objective,
         ask.must_run, ask.waits_for_adapter},
        now);
    reply.verdict =
        decision.admitted ? run_verdict::admitted : run_verdict::refused;
    reply.open_requests = decision.open;
    reply.usable_slots = decision.usable_slots;
    return reply;
}

void engine_gates::on_update(const std::string& from,
                             const gateway::run_update& update, time_point now)
{
    using gateway::run_event;
    for (const auto& e : update.entries) {
        const auto it = gates_.find(e.engine);
        if (it == gates_.end())
            continue;
        engine_gate& gate = it->second.gate;
        switch (e.event) {
        case run_event::sent:
            gate.on_sent(from, e.number, now);
            break;
        case run_event::begun:
            gate.on_begun(from, e.number, e.first_event_time,
                          it->second.facts.usual_first_event, now);
            break;
        case run_event::ended:
            gate.on_ended(from, e.number, engine_gate::outcome::answered, now);
            break;
        case run_event::rejected:
            gate.on_ended(from, e.number, engine_gate::outcome::rejected, now);
            break;
        case run_event::failed:
            gate.on_ended(from, e.number, engine_gate::outcome::failed, now);
            break;
        }
    }
}

void engine_gates::on_told(const std::string& from, const std::string& engine,
                           std::uint32_t open, time_point now)
{
    const auto it = gates_.find(engine);
    if (it != gates_.end())
        it->second.gate.on_told(from, open, now);
}

std::size_t engine_gates::in_slow_start() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        gates_, [](const auto& g) { return g.second.gate.in_slow_start(); }));
}

const engine_gate* engine_gates::find(std::string_view engine) const
{
    const auto it = gates_.find(engine);
    return it == gates_.end() ? nullptr : &it->second.gate;
}

} // namespace lovagegate::pace
