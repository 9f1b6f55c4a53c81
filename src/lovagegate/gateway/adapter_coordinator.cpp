#include "lovagegate/gateway/adapter_coordinator.hpp"

#include "lovagegate/logging/log.hpp"
#include "platform/http_fields.hpp"
#include "platform/published.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Interval of report polls while no change is expected; reports lag by 0.1 s.
constexpr duration report_interval = 400ms;
/// Interval of report polls while a load is in progress; a load takes 250 ms.
constexpr duration pending_report_interval = 50ms;
/// Engines answer orders and report requests within milliseconds.
constexpr duration call_timeout = 700ms;
/// Reports of engines are a few kilobytes.
constexpr std::size_t max_report_bytes = std::size_t{256} * 1024;
/// Enough to show the reason of a refusal.
constexpr std::size_t max_logged_answer_bytes = 80;
/// Datagrams may be lost, so unanswered requests are resent.
constexpr duration request_resend_interval = 150ms;
/// Without an answer in this time, the owner is assumed to be down or
/// unreachable.
constexpr duration owner_ack_timeout = 600ms;
/// Covers a load that waits for two others.
constexpr duration request_timeout = 2500ms;
/// Weight of one stream in the moving average of stalled streams. About ten
/// streams per second end on a busy engine.
constexpr double stall_ewma_weight = 0.05;
/// Ownership is updated at about the rate of heartbeats.
constexpr duration ownership_update_interval = 250ms;

order_outcome outcome_of(const short_call::result& r)
{
    constexpr int ok = 200;
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    constexpr int stale = 412;
    switch (r.status) {
    case ok:
        return order_outcome::already;
    case accepted:
        return order_outcome::accepted;
    case conflict:
        return order_outcome::engine_busy;
    case stale:
        return order_outcome::stale_token;
    case 0:
        return r.failure && nothing_sent(*r.failure) ? order_outcome::not_sent
                                                     : order_outcome::unknown;
    default:
        return order_outcome::refused;
    }
}

std::string_view to_string(order_outcome o)
{
    switch (o) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::already:
        return "already";
    case order_outcome::engine_busy:
        return "engine_busy";
    case order_outcome::stale_token:
        return "stale_token";
    case order_outcome::refused:
        return "refused";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace

adapter_coordinator::adapter_coordinator(net::event_loop& loop,
                                         gateway_state& state,
                                         target_pool& pool, peer_sender send)
    : loop_(loop), state_(state), pool_(pool), send_(std::move(send))
{
}

adapter_coordinator::~adapter_coordinator() = default;

std::size_t
adapter_coordinator::connection_limit(const std::string& service) const
{
    const service_spec* s = state_.routes.service(service);
    return s && s->max_connections > 0 ? s->max_connections : 64;
}

std::uint64_t adapter_coordinator::request_adapter(const std::string& engine,
                                                   const adapter_ref& wanted,
                                                   bool was_absent,
                                                   time_point deadline,
                                                   answer_handler done)
{
    const time_point now = net::event_loop::now().mono;
    const std::uint64_t number = ++last_number_;
    pending_requests_.emplace(
        number,
        pending_request{
            engine, wanted, was_absent, std::move(done), deadline, now, {}});
    send_request(number, pending_requests_.at(number), now);
    return pending_requests_.contains(number) ? number : 0;
}

void adapter_coordinator::send_request(std::uint64_t number,
                                       pending_request& ask, time_point now)
{
    ask.last_sent = now;
    const adapter_request message{
        number, ask.engine, ask.wanted, ask.was_absent,
        std::max(duration::zero(), ask.deadline - now)};
    ask.was_absent = false; // sent only with the first message
    if (state_.ownership.find(ask.engine)) {
        ask.acknowledged = true;
        on_message({}, message);
        return;
    }
    const auto owner =
        engine_ownership::claiming_address(state_.members, ask.engine, now);
    if (!owner) {
        finish(number, adapter_status::refused, 0);
        return;
    }
    send_(*owner, message);
}

void adapter_coordinator::cancel(std::uint64_t number)
{
    pending_requests_.erase(number);
}

bool adapter_coordinator::leaves_by_notice(const std::string& engine) const
{
    const target_state* t = state_.targets.find(engine);
    return t != nullptr && t->leaves_by_notice;
}

void adapter_coordinator::on_target_taken_out(const std::string& engine)
{
    // Deferred, since the requests that are refused choose other targets at
    // once, and the caller is in the middle of an answer.
    loop_.call_later(duration::zero(),
                     [this, engine] { refuse_requests(engine); });
}

void adapter_coordinator::refuse_requests(const std::string& engine)
{
    if (const auto it = owned_engines_.find(engine); it != owned_engines_.end())
        refuse_waiters(it->second, engine, !leaves_by_notice(engine));
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, ask] : pending_requests_)
        if (ask.engine == engine)
            numbers.push_back(number);
    for (const auto number : numbers)
        finish(number, adapter_status::refused, 0);
}

void adapter_coordinator::refuse_waiters(owned_engine& e,
                                         const std::string& engine,
                                         bool own_only)
{
    std::vector<waiter> refused;
    std::erase_if(e.waiters, [&](const waiter& w) {
        if (own_only && !w.from.empty())
            return false;
        refused.push_back(w);
        return true;
    });
    for (const auto& w : refused) {
        const bool still_wanted =
            std::ranges::any_of(e.waiters, [&](const waiter& other) {
                return other.wanted.model == w.wanted.model &&
                       other.wanted.adapter == w.wanted.adapter;
            });
        if (!still_wanted)
            e.planner.withdraw_load(w.wanted);
    }
    for (const auto& w : refused)
        reply(w, engine, adapter_status::refused, 0);
}

void adapter_coordinator::finish(std::uint64_t number, adapter_status status,
                                 std::uint64_t version)
{
    const auto it = pending_requests_.find(number);
    if (it == pending_requests_.end())
        return;
    const auto done = std::move(it->second.done);
    pending_requests_.erase(it);
    done(status, version);
}

void adapter_coordinator::begin_use(const std::string& engine,
                                    const std::string& adapter)
{
    engine_use& use = uses_[engine];
    if (++use.open[adapter] == 1)
        schedule_changed_uses(use);
}

void adapter_coordinator::on_stream_ended(const std::string& engine,
                                          bool stalled)
{
    engine_use& use = uses_[engine];
    ++use.streams;
    use.stalled_streams += stalled ? 1U : 0U;
}

void adapter_coordinator::end_use(const std::string& engine,
                                  const std::string& adapter)
{
    const auto on_engine = uses_.find(engine);
    if (on_engine == uses_.end())
        return;
    auto& open = on_engine->second.open;
    const auto it = open.find(adapter);
    if (it == open.end() || --it->second > 0)
        return;
    open.erase(it);
    schedule_changed_uses(on_engine->second);
}

void adapter_coordinator::schedule_changed_uses(engine_use& use)
{
    use.changed = true;
    if (std::exchange(use_flush_scheduled_, true))
        return;
    loop_.call_later(duration::zero(), [this] {
        use_flush_scheduled_ = false;
        send_adapter_uses(false);
    });
}

void adapter_coordinator::send_adapter_uses(bool all)
{
    const time_point now = net::event_loop::now().mono;
    if (all)
        add_engines_with_requests();
    for (auto& [engine, mine] : uses_)
        if (mine.changed || (all && (!mine.open.empty() || mine.streams > 0 ||
                                     mine.open_requests > 0)))
            send_adapter_use(engine, mine, now);
    std::erase_if(uses_, [](const auto& u) {
        return u.second.open.empty() && u.second.streams == 0;
    });
}

void adapter_coordinator::add_engines_with_requests()
{
    if (!open_requests_)
        return;
    for (const auto& [id, t] : state_.targets.all())
        if (const auto open = open_requests_(id); open > 0)
            uses_[id].open_requests = open;
}

void adapter_coordinator::send_adapter_use(const std::string& engine,
                                           engine_use& mine, time_point now)
{
    adapter_usage use{engine,
                      {},
                      mine.streams,
                      mine.stalled_streams,
                      open_requests_ ? open_requests_(engine) : 0};
    mine.streams = mine.stalled_streams = mine.open_requests = 0;
    mine.changed = false;
    for (const auto& [name, open] : mine.open)
        use.adapters.push_back(name);
    if (state_.ownership.find(engine)) {
        on_message({}, use);
        return;
    }
    const auto owner =
        engine_ownership::claiming_address(state_.members, engine, now);
    if (owner)
        send_(*owner, use);
}

void adapter_coordinator::on_message(const std::string& from,
                                     const adapter_request& ask)
{
    const time_point now = net::event_loop::now().mono;
    waiter w{from, ask.number, ask.wanted,
             now + std::min(request_timeout, ask.time_left)};
    const auto it = owned_engines_.find(ask.engine);
    if (it == owned_engines_.end() || !state_.ownership.find(ask.engine)) {
        reply(w, ask.engine, adapter_status::refused, 0);
        return;
    }
    owned_engine& e = it->second;
    if (ask.was_absent)
        e.planner.on_not_loaded(
            adapter_name(ask.wanted.model, ask.wanted.adapter), now);
    const auto known_state =
        e.planner.look_up(ask.wanted.model, ask.wanted.adapter, now);
    if (leaves_by_notice(ask.engine) &&
        known_state.status == adapter_status::loading) {
        reply(w, ask.engine, adapter_status::refused, 0);
        return;
    }
    const auto status = e.planner.require_adapter(ask.wanted, now, w.until);
    if (status != adapter_status::loading) {
        e.planner.on_granted(adapter_name(ask.wanted.model, ask.wanted.adapter),
                             now);
        const auto held =
            e.planner.look_up(ask.wanted.model, ask.wanted.adapter, now);
        reply(w, ask.engine, status, held.version);
        return;
    }
    const bool known = std::ranges::any_of(e.waiters, [&](const waiter& o) {
        return o.from == from && o.number == ask.number;
    });
    if (!known)
        e.waiters.push_back(std::move(w));
    if (!from.empty())
        send_(from, adapter_reply{ask.number, ask.engine,
                                  adapter_status::loading, 0});
    process_engine(ask.engine, e, now);
}

void adapter_coordinator::on_message(const std::string&,
                                     const adapter_reply& answer)
{
    const auto it = pending_requests_.find(answer.number);
    if (it == pending_requests_.end() || it->second.engine != answer.engine)
        return;
    if (answer.status == adapter_status::loading) {
        // Delays the next resend until the load should have finished.
        it->second.acknowledged = true;
        it->second.last_sent = net::event_loop::now().mono + owner_ack_timeout;
        return;
    }
    finish(answer.number, answer.status, answer.version);
}

void adapter_coordinator::on_message(const std::string& from,
                                     const adapter_usage& use)
{
    const auto it = owned_engines_.find(use.engine);
    if (it == owned_engines_.end())
        return;
    const time_point now = net::event_loop::now().mono;
    owned_engine& e = it->second;
    const bool released = e.planner.on_usage(from, use.adapters, now);
    for (std::uint32_t i = 0; i < use.streams; ++i) {
        const double stalled = i < use.halting ? 1 : 0;
        e.stalled_stream_share +=
            stall_ewma_weight * (stalled - e.stalled_stream_share);
    }
    if (released)
        process_engine(use.engine, e, now);
}

void adapter_coordinator::on_release(const adapter_release& release)
{
    for (auto& [id, e] : owned_engines_)
        e.planner.on_release(release);
}

void adapter_coordinator::reply(const waiter& w, const std::string& engine,
                                adapter_status status, std::uint64_t version)
{
    if (w.from.empty())
        finish(w.number, status, version);
    else
        send_(w.from, adapter_reply{w.number, engine, status, version});
}

void adapter_coordinator::answer_waiters(owned_engine& e, const std::string& id,
                                         time_point now)
{
    std::vector<std::pair<waiter, adapter_planner::adapter_state>> served;
    std::vector<waiter> expired;
    std::erase_if(e.waiters, [&](const waiter& w) {
        const auto held =
            e.planner.look_up(w.wanted.model, w.wanted.adapter, now);
        if (held.status != adapter_status::loading &&
            held.version >= w.wanted.version) {
            served.emplace_back(w, held);
            return true;
        }
        if (now > w.until)
            expired.push_back(w);
        return now > w.until;
    });
    for (const auto& [w, held] : served) {
        e.planner.on_granted(adapter_name(w.wanted.model, w.wanted.adapter),
                             now);
        reply(w, id, held.status, held.version);
    }
    for (const auto& w : expired)
        reply(w, id, adapter_status::refused, 0);
}

void adapter_coordinator::log_change(const engine_ownership::change& c) const
{
    logging::write(
        logging::level::info, c.taken ? "engine_taken" : "engine_given_up",
        {{"engine", c.engine}, {"token", c.token}, {"reason", c.reason}});
}

void adapter_coordinator::update_owned_engines(instant now)
{
    std::vector<std::string> engines;
    for (const auto& [id, t] : state_.targets.all()) {
        const service_spec* s = state_.routes.service(t.entry.service);
        if (s && s->engine && t.listed && !t.entry.leaving)
            engines.push_back(id);
    }
    for (const auto& c : state_.ownership.update(state_.members, engines, now))
        log_change(c);
    std::erase_if(owned_engines_, [&](const auto& k) {
        return state_.ownership.find(k.first) == nullptr;
    });
    for (const auto& [id, o] : state_.ownership.all()) {
        const target_state* t = state_.targets.find(id);
        const service_spec* s =
            t ? state_.routes.service(t->entry.service) : nullptr;
        if (!s || !s->engine)
            continue;
        auto it = owned_engines_.find(id);
        if (it != owned_engines_.end() &&
            it->second.started_ms != t->entry.started_ms) {
            owned_engines_.erase(it); // a restarted engine holds no adapters
            it = owned_engines_.end();
        }
        if (it != owned_engines_.end()) {
            it->second.planner.set_others_may_order(
                !state_.ownership.is_established());
            continue;
        }
        it = owned_engines_.try_emplace(id, id, *s->engine).first;
        it->second.started_ms = t->entry.started_ms;
        it->second.last_report = now.mono;
        it->second.planner.set_others_may_order(
            !state_.ownership.is_established());
        it->second.planner.add_cached_adapters(
            state_.placements.cached_adapters(id));
        for (const auto& [name, known] : state_.releases.all())
            it->second.planner.on_release(known.release);
    }
}

void adapter_coordinator::poll_report(const std::string& id, owned_engine& e,
                                      time_point now)
{
    const target_state* t = state_.targets.find(id);
    if (e.report || now < e.next_report || t == nullptr)
        return;
    e.report = request_report(
        *t, [this, id](const short_call::result& r) { on_report(id, r); });
}

std::unique_ptr<short_call>
adapter_coordinator::request_report(const target_state& t,
                                    short_call::done_handler done)
{
    target_request request;
    request.target = t.entry.id;
    request.address = t.entry.address;
    request.head = platform_wire::write_report_head(to_string(t.entry.address),
                                                    t.entry.id);
    state_.counts.add("engine_reports_asked");
    return std::make_unique<short_call>(
        loop_, pool_, request, connection_limit(t.entry.service), call_timeout,
        max_report_bytes, std::move(done));
}

void adapter_coordinator::watch_engines(time_point now)
{
    const auto& wanted = state_.ownership.watched();
    std::erase_if(watched_engines_,
                  [&](const auto& w) { return !wanted.contains(w.first); });
    for (const auto& id : wanted) {
        const target_state* t = state_.targets.find(id);
        watched_engine& w = watched_engines_[id];
        if (t == nullptr || w.report || now < w.next_report)
            continue;
        w.next_report = now + report_interval;
        w.report = request_report(*t, [this, id, started = t->entry.started_ms](
                                          const short_call::result& r) {
            on_watched_report(id, started, r);
        });
    }
}

void adapter_coordinator::on_watched_report(const std::string& id,
                                            std::int64_t started_ms,
                                            const short_call::result& r)
{
    constexpr int ok = 200;
    // Deferred, since the call that runs this handler must not destroy itself.
    loop_.call_later(duration::zero(), [this, id] {
        const auto kept = watched_engines_.find(id);
        if (kept != watched_engines_.end())
            kept->second.report.reset();
    });
    if (r.status != ok) {
        state_.counts.add("engine_reports_failed");
        return;
    }
    try {
        state_.ownership.on_report(id, started_ms,
                                   platform_wire::parse_report(r.body).sequence,
                                   net::event_loop::now());
    } catch (const platform_wire::published_error&) {
        state_.counts.add("engine_reports_malformed");
    }
}

void adapter_coordinator::on_report(const std::string& id,
                                    const short_call::result& r)
{
    constexpr int ok = 200;
    const time_point now = net::event_loop::now().mono;
    const auto it = owned_engines_.find(id);
    if (it == owned_engines_.end())
        return;
    owned_engine& e = it->second;
    // Deferred, since the call that runs this handler must not destroy itself.
    loop_.call_later(duration::zero(), [this, id] {
        const auto kept = owned_engines_.find(id);
        if (kept != owned_engines_.end())
            kept->second.report.reset();
    });
    e.next_report = now + report_interval;
    if (r.status != ok) {
        state_.counts.add("engine_reports_failed");
        if (r.failure == call_failure::refused ||
            r.failure == call_failure::unreachable)
            state_.placements.on_unreachable(id, now);
        return;
    }
    e.last_report = now;
    try {
        const engine_report report = platform_wire::parse_report(r.body);
        if (const auto given_up = state_.ownership.on_report(
                id, e.started_ms, report.sequence, net::event_loop::now())) {
            log_change(*given_up);
            return;
        }
        e.planner.on_report(report, now);
    } catch (const platform_wire::published_error& error) {
        state_.counts.add("engine_reports_malformed");
        logging::write(logging::level::warning, "engine_report_malformed",
                       {{"engine", id}, {"reason", error.what()}});
        return;
    }
    process_engine(id, e, now);
}

void adapter_coordinator::process_engine(const std::string& id, owned_engine& e,
                                         time_point now)
{
    answer_waiters(e, id, now);
    if (!state_.ownership.find(id) || leaves_by_notice(id))
        return;
    for (const auto& order : e.planner.plan(now))
        send_order(id, e, order);
    if (e.planner.expects_change(now))
        e.next_report = std::min(e.next_report, now + pending_report_interval);
    schedule_ready_check(id, e, now);
}

void adapter_coordinator::schedule_ready_check(const std::string& id,
                                               owned_engine& e, time_point now)
{
    const auto ready = e.planner.next_load_ready();
    if (!ready || *ready <= now || e.waiters.empty() ||
        e.ready_check_at == *ready)
        return;
    e.ready_check_at = *ready;
    loop_.call_later(*ready - now, [this, id] {
        const auto it = owned_engines_.find(id);
        if (it != owned_engines_.end())
            process_engine(id, it->second, net::event_loop::now().mono);
    });
}

void adapter_coordinator::send_order(const std::string& id, owned_engine& e,
                                     const engine_order& order)
{
    const auto* owned = state_.ownership.find(id);
    const target_state* t = state_.targets.find(id);
    if (owned == nullptr || t == nullptr) {
        e.planner.on_order_done(order, order_outcome::not_sent,
                                net::event_loop::now().mono);
        return;
    }
    const std::string body = platform_wire::write_order(
        {order.load, order.model, order.adapter, order.version,
         state_.boot.instance, owned->token, order.expect});
    target_request request;
    request.target = id;
    request.address = t->entry.address;
    request.head = platform_wire::write_order_head(to_string(t->entry.address),
                                                   id, body.size());
    request.body = body;
    const std::uint64_t number = ++last_number_;
    state_.counts.add("orders_given", "operation",
                      order.load ? "load" : "unload");
    state_.ownership.on_ordered(id, net::event_loop::now().mono);
    e.orders[number] = std::make_unique<short_call>(
        loop_, pool_, request, connection_limit(t->entry.service), call_timeout,
        max_report_bytes,
        [this, id, number, order](const short_call::result& r) {
            on_order_done(id, number, order, r);
        });
}

void adapter_coordinator::on_order_done(const std::string& id,
                                        std::uint64_t number,
                                        const engine_order& order,
                                        const short_call::result& r)
{
    const instant now = net::event_loop::now();
    const auto outcome = outcome_of(r);
    const auto* owned = state_.ownership.find(id);
    logging::write(
        logging::level::info, "order",
        {{"engine", id},
         {"operation", order.load ? "load" : "unload"},
         {"model", order.model},
         {"adapter", order.adapter},
         {"version", order.version},
         {"token", owned ? owned->token : 0},
         {"expect", order.expect ? std::to_string(*order.expect) : "any"},
         {"outcome", to_string(outcome)},
         {"status", static_cast<std::uint64_t>(r.status)},
         {"answer",
          std::string_view(r.body).substr(0, max_logged_answer_bytes)}});
    state_.counts.add("orders_done", "outcome", to_string(outcome));
    const auto it = owned_engines_.find(id);
    if (it == owned_engines_.end())
        return;
    loop_.call_later(duration::zero(), [this, id, number] {
        if (const auto kept = owned_engines_.find(id);
            kept != owned_engines_.end())
            kept->second.orders.erase(number);
    });
    it->second.planner.on_order_done(order, outcome, now.mono);
    if (outcome != order_outcome::accepted &&
        outcome != order_outcome::unknown &&
        (order.load || outcome != order_outcome::already))
        state_.ownership.on_order_failed(id);
    if (outcome == order_outcome::stale_token) {
        state_.ownership.on_token_refused(id, now);
        return;
    }
    process_engine(id, it->second, now.mono);
}

void adapter_coordinator::tick(instant now)
{
    if (now.mono - last_update_ >= ownership_update_interval) {
        last_update_ = now.mono;
        update_owned_engines(now);
    }
    for (auto& [id, e] : owned_engines_) {
        poll_report(id, e, now.mono);
        process_engine(id, e, now.mono);
    }
    watch_engines(now.mono);
    tick_requests(now.mono);
}

void adapter_coordinator::tick_requests(time_point now)
{
    if (now - last_use_flush_ >= usage_report_interval) {
        last_use_flush_ = now;
        send_adapter_uses(true);
    }
    std::vector<std::uint64_t> resend;
    std::vector<std::uint64_t> expired;
    for (const auto& [number, ask] : pending_requests_) {
        const duration silent = now - ask.last_sent;
        const duration age = now - ask.since;
        if (age > request_timeout ||
            (!ask.acknowledged && age > owner_ack_timeout))
            expired.push_back(number);
        else if (silent > request_resend_interval)
            resend.push_back(number);
    }
    for (const auto number : expired)
        finish(number, adapter_status::refused, 0);
    for (const auto number : resend)
        if (const auto it = pending_requests_.find(number);
            it != pending_requests_.end())
            send_request(number, it->second, now);
}

void adapter_coordinator::stop(const std::string& reason, instant now)
{
    for (const auto& c : state_.ownership.drop_all(reason, now.mono))
        log_change(c);
    owned_engines_.clear();
}

std::vector<engine_claim> adapter_coordinator::claims(time_point now) const
{
    constexpr std::uint64_t per_mille = 1000;
    std::vector<engine_claim> out;
    for (const auto& [id, o] : state_.ownership.all()) {
        engine_claim c{id, o.token, now - o.last_order, 0, 0, 0, 0, 0};
        const auto it = owned_engines_.find(id);
        if (it != owned_engines_.end()) {
            const engine_report& r = it->second.planner.report();
            c.running = r.running;
            c.waiting = r.waiting;
            if (r.kv_total > 0)
                c.kv_permille = static_cast<std::uint32_t>(
                    r.kv_used * per_mille / r.kv_total);
            c.free_adapter_slots = static_cast<std::uint32_t>(
                it->second.planner.free_adapter_slots(now));
            c.halting_permille =
                static_cast<std::uint32_t>(it->second.stalled_stream_share *
                                           static_cast<double>(per_mille));
        }
        out.push_back(std::move(c));
    }
    return out;
}

std::optional<time_point>
adapter_coordinator::last_report(const std::string& engine) const
{
    const auto it = owned_engines_.find(engine);
    return it == owned_engines_.end() ? std::nullopt
                                      : std::optional(it->second.last_report);
}

std::size_t adapter_coordinator::loads_in_transit() const
{
    std::size_t n = 0;
    for (const auto& [id, e] : owned_engines_)
        n += e.planner.in_transit();
    return n;
}

} // namespace lovagegate::gateway
