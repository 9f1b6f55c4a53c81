#include "lovagegate/pace/engine_admission.hpp"

#include "lovagegate/logging/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagegate::pace {

namespace {

/// Interval for recording which engines are listed.
constexpr duration listing_interval = 500ms;
/// Engines that are first listed within this time after the start of this
/// instance may have served before it.
constexpr duration learning_time = 5s;

} // namespace

engine_admission::engine_admission(net::event_loop& loop,
                                   gateway::gateway_state& state,
                                   const gateway::adapter_coordinator& reports,
                                   std::uint64_t first_number,
                                   admission_client::sender send)
    : loop_(loop), state_(state), reports_(reports), send_(std::move(send)),
      client_(first_number,
              [this](const std::string& to, const gateway::peer_message& m) {
                  deliver(to, m);
              }),
      started_(net::event_loop::now().mono)
{
}

engine_admission::~engine_admission()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
}

bool engine_admission::applies_to(const std::string& service,
                                  time_point now) const
{
    // In smaller fleets, each instance hears the others' reports directly.
    constexpr std::size_t max_direct_fleet =
        gateway::member_settings{}.max_small_fleet_peers + 1;
    const gateway::service_spec* const s = state_.routes.service(service);
    return state_.boot.owners_admit_requests && s != nullptr && s->engine &&
           state_.members.count(now) > max_direct_fleet;
}

std::uint64_t engine_admission::ask(gateway::run_request request,
                                    admission_client::answer_handler done)
{
    const time_point now = net::event_loop::now().mono;
    const std::string engine = request.engine;
    std::string owner; // this instance
    if (!state_.ownership.find(engine)) {
        const auto claiming = gateway::engine_ownership::claiming_address(
            state_.members, engine, now);
        if (!claiming || client_.is_silent(*claiming, now)) {
            state_.counts.add("engine_admissions_unasked");
            done({});
            return 0;
        }
        owner = *claiming;
    }
    state_.counts.add("engine_admissions_asked");
    const auto number = client_.ask(
        owner, std::move(request), now,
        [this, engine, done = std::move(done)](const admission_answer& a) {
            using kind = admission_answer::kind;
            state_.counts.add(
                a.result == kind::admitted  ? "engine_admissions_granted"
                : a.result == kind::refused ? "engine_admissions_refused"
                                            : "engine_admissions_unanswered");
            if (a.result != kind::unanswered)
                state_.placements.on_told_load(engine, a.open_requests,
                                               net::event_loop::now().mono);
            done(a);
        });
    arm_timer();
    return number;
}

void engine_admission::cancel(std::uint64_t number)
{
    client_.cancel(number);
}

run_permit engine_admission::make_permit(std::uint64_t number)
{
    return run_permit([this, number](gateway::run_event event, duration time) {
        client_.on_event(number, event, time, net::event_loop::now().mono);
        arm_timer();
    });
}

void engine_admission::deliver(const std::string& address,
                               const gateway::peer_message& message)
{
    if (!address.empty())
        send_(address, message);
    else if (const auto* ask = std::get_if<gateway::run_request>(&message))
        on_message({}, *ask);
    else if (const auto* update = std::get_if<gateway::run_update>(&message))
        on_message({}, *update);
}

void engine_admission::on_message(const std::string& from,
                                  const gateway::run_request& ask)
{
    const time_point now = net::event_loop::now().mono;
    const auto reply = gates_.on_request(from, ask, now);
    if (from.empty())
        client_.on_reply(from, reply, now);
    else
        send_(from, reply);
}

void engine_admission::on_message(const std::string& from,
                                  const gateway::run_reply& reply)
{
    client_.on_reply(from, reply, net::event_loop::now().mono);
    arm_timer();
}

void engine_admission::on_message(const std::string& from,
                                  const gateway::run_update& update)
{
    gates_.on_update(from, update, net::event_loop::now().mono);
}

void engine_admission::on_message(const std::string& from,
                                  const gateway::adapter_usage& use)
{
    gates_.on_told(from, use.engine, use.open_requests,
                   net::event_loop::now().mono);
}

std::uint32_t engine_admission::open(const std::string& engine) const
{
    return std::max(client_.open(engine), state_.placements.open(engine));
}

std::uint32_t engine_admission::slots(const std::string& engine) const
{
    const gateway::target_state* const t = state_.targets.find(engine);
    return t == nullptr ? 1 : t->entry.slots;
}

void engine_admission::list_engines(time_point now)
{
    last_listing_ = now;
    for (const auto& [id, t] : state_.targets.all())
        if (t.listed)
            gates_.on_listed(id, t.entry.started_ms,
                             now - started_ < learning_time, now);
}

void engine_admission::tick(time_point now)
{
    if (now - last_listing_ >= listing_interval)
        list_engines(now);
    update_owned_engines(now);
    client_.tick(now);
    arm_timer();
}

void engine_admission::update_owned_engines(time_point now)
{
    std::vector<owned_engine> owned;
    for (const auto& [id, o] : state_.ownership.all()) {
        const gateway::target_state* const t = state_.targets.find(id);
        if (t == nullptr)
            continue;
        gates_.on_listed(id, t->entry.started_ms,
                         now - started_ < learning_time, now);
        owned.push_back(
            {id, t->entry.started_ms, t->entry.slots,
             state_.placements.mean_first_event_time(t->entry.service),
             reports_.last_report(id)});
    }
    constexpr double whole_percent = 100;
    for (const auto& c : gates_.update(owned, now))
        logging::write(logging::level::info,
                       c.began ? "engine_slow_start_began"
                               : "engine_slow_start_ended",
                       {{"engine", c.engine},
                        {"open", std::uint64_t{c.open}},
                        {"pace_percent",
                         static_cast<std::uint64_t>(whole_percent * c.pace)}});
    for (const auto& e : owned)
        gates_.on_told({}, e.id, open(e.id), now);
}

void engine_admission::arm_timer()
{
    const auto next = client_.next_action();
    if (!next || (timer_ != 0 && timer_at_ <= *next))
        return;
    if (timer_ != 0)
        loop_.cancel(timer_);
    timer_at_ = *next;
    const time_point now = net::event_loop::now().mono;
    timer_ = loop_.call_later(std::max(duration::zero(), *next - now), [this] {
        timer_ = 0;
        client_.tick(net::event_loop::now().mono);
        arm_timer();
    });
}

} // namespace lovagegate::pace
