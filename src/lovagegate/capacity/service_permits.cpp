#include "lovagegate/capacity/service_permits.hpp"

#include "lovagegate/capacity/coordinator_choice.hpp"
#include "lovagegate/logging/log.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::capacity {

using namespace gateway;

namespace {

/// Interval for checking leases and waiting requests of coordinated services.
constexpr duration coordinator_interval = 10ms;
/// Heartbeats show lost instances after seconds, so that the coordinator
/// needn't be chosen for each request.
constexpr duration choice_interval = 200ms;
/// A service counts as overloaded until nothing was refused for this time.
constexpr duration overload_end_time = 5s;
/// Numbers start below 2^32, since each datagram carries one.
constexpr int unused_number_bits = 32;

std::vector<permit_target> targets_of(const gateway_state& state,
                                      const std::string& service,
                                      time_point now)
{
    std::vector<permit_target> out;
    for (const target_state* t : state.targets.usable(service, now))
        if (t->use(now) == target_use::normal)
            out.push_back({t->entry.id, t->entry.slots});
    return out;
}

std::vector<coordinator_candidate> live_instances(const gateway_state& state,
                                                  time_point now)
{
    std::vector<coordinator_candidate> out;
    for (const auto& [address, m] : state.members.all())
        if (state.members.is_alive(m, now))
            out.push_back({address, m.record.cpu_permille});
    const member_record& self = state.members.self();
    if (!self.leaving || out.empty())
        out.push_back({self.address, self.cpu_permille});
    return out;
}

} // namespace

service_permits::service_permits(net::event_loop& loop, gateway_state& state,
                                 std::mt19937_64& random, sender send)
    : loop_(loop), state_(state), random_(random), send_(std::move(send)),
      client_(state.counts, random() >> unused_number_bits)
{
}

service_permits::~service_permits()
{
    *alive_ = false;
    if (timer_ != 0)
        loop_.cancel(timer_);
}

bool service_permits::are_needed(const std::string& service, time_point now)
{
    service_record& s = services_[service];
    if (s.need_checked_at != time_point{} &&
        now - s.need_checked_at < choice_interval)
        return s.needed;
    s.need_checked_at = now;
    const service_spec* const spec = state_.routes.service(service);
    std::uint32_t permits = 0;
    if (spec != nullptr && !spec->engine)
        for (const auto& t : targets_of(state_, service, now))
            permits += t.slots;
    const bool needed = permits > 0 && permits < state_.members.count(now);
    if (needed != s.needed)
        logging::write(logging::level::info, "permits_needed",
                       {{"service", service},
                        {"needed", needed ? "yes" : "no"},
                        {"permits", std::uint64_t{permits}},
                        {"live", std::uint64_t{state_.members.count(now)}}});
    s.needed = needed;
    return needed;
}

const std::string& service_permits::coordinator_of(const std::string& service,
                                                   time_point now)
{
    service_record& s = services_[service];
    if (!s.coordinator.empty() &&
        now - s.coordinator_chosen_at < choice_interval)
        return s.coordinator;
    s.coordinator_chosen_at = now;
    const auto instances = live_instances(state_, now);
    const auto chosen = choose_coordinator(service, instances);
    if (chosen != s.coordinator)
        logging::write(logging::level::info, "permit_coordinator",
                       {{"service", service}, {"address", chosen}});
    s.coordinator = chosen;
    return s.coordinator;
}

std::uint64_t service_permits::ask(const permit_question& q,
                                   permit_client::decided_handler on_decided)
{
    const time_point now = net::event_loop::now().mono;
    const auto number = client_.ask(q, coordinator_of(q.service, now),
                                    std::move(on_decided), now);
    flush();
    return number;
}

void service_permits::cancel(std::uint64_t number)
{
    client_.cancel(number, net::event_loop::now().mono);
    flush();
}

void service_permits::release(std::uint64_t number, permit_outcome outcome,
                              duration run_time)
{
    client_.release(number, outcome, run_time, net::event_loop::now().mono);
    flush();
}

void service_permits::on_unpermitted_end(const std::string& service,
                                         permit_outcome outcome,
                                         duration run_time)
{
    client_.on_unpermitted_end(service, outcome, run_time);
}

service_permits::coordinated_service&
service_permits::coordinated_record(const std::string& service, time_point now)
{
    const auto it =
        coordinated_
            .try_emplace(service, coordinated_service{permit_coordinator(
                                      state_.counts, random_())})
            .first;
    it->second.permits.set_targets(targets_of(state_, service, now));
    return it->second;
}

bool service_permits::on_message(const std::string& from,
                                 const peer_message& message)
{
    const bool is_own = std::holds_alternative<place_request>(message) ||
                        std::holds_alternative<place_grant>(message) ||
                        std::holds_alternative<place_refusal>(message) ||
                        std::holds_alternative<place_release>(message);
    if (is_own)
        process(from, message);
    return is_own;
}

void service_permits::process(const std::string& from,
                              const peer_message& message)
{
    const time_point now = net::event_loop::now().mono;
    if (const auto* request = std::get_if<place_request>(&message)) {
        // Otherwise any datagram could make this instance keep a service.
        if (state_.routes.service(request->service) == nullptr)
            send_(from, place_grant{request->number});
        else
            coordinated_record(request->service, now)
                .permits.on_request(from, *request, now);
    } else if (const auto* grant = std::get_if<place_grant>(&message)) {
        client_.on_message(from, *grant, now);
    } else if (const auto* refusal = std::get_if<place_refusal>(&message)) {
        client_.on_message(from, *refusal, now);
    } else if (const auto* release = std::get_if<place_release>(&message)) {
        for (auto& [service, s] : coordinated_)
            if (release->service.empty() || release->service == service)
                s.permits.on_release(from, release->entries, now);
    }
    flush();
}

void service_permits::send(const outgoing_message& m)
{
    if (m.to != state_.boot.address) {
        send_(m.to, m.message);
        return;
    }
    // Deferred, because a request may be the caller.
    loop_.call_later(duration::zero(),
                     [this, message = m.message, alive = alive_] {
                         if (*alive)
                             process(state_.boot.address, message);
                     });
}

void service_permits::note_overload(const std::string& service,
                                    coordinated_service& s, bool refuses,
                                    time_point now)
{
    if (refuses)
        s.last_refusal = now;
    const bool overloaded = s.last_refusal != time_point{} &&
                            now - s.last_refusal < overload_end_time;
    if (overloaded != s.overloaded)
        logging::write(logging::level::info,
                       overloaded ? "service_overloaded"
                                  : "service_overload_ended",
                       {{"service", service},
                        {"permits", std::uint64_t{s.permits.permits()}},
                        {"in_use", std::uint64_t{s.permits.in_use()}},
                        {"waiting", std::uint64_t{s.permits.waiting()}}});
    s.overloaded = overloaded;
}

void service_permits::flush()
{
    const time_point now = net::event_loop::now().mono;
    for (const auto& m : client_.take_messages())
        send(m);
    for (const auto& address : client_.take_silent())
        logging::write(logging::level::info, "permit_coordinator_silent",
                       {{"address", address}});
    for (auto& [service, s] : coordinated_) {
        bool refuses = false;
        for (const auto& m : s.permits.take_messages()) {
            refuses =
                refuses || std::holds_alternative<place_refusal>(m.message);
            send(m);
        }
        note_overload(service, s, refuses, now);
    }
    arm_timer(now);
}

void service_permits::tick()
{
    const time_point now = net::event_loop::now().mono;
    client_.tick(now);
    for (auto& [service, s] : coordinated_)
        if (s.permits.is_active())
            coordinated_record(service, now).permits.tick(now);
    flush();
}

void service_permits::arm_timer(time_point now)
{
    auto next = client_.next_tick();
    const bool coordinates =
        std::ranges::any_of(coordinated_, [](const auto& c) {
            return c.second.permits.is_active();
        });
    if (coordinates)
        next = std::min(next.value_or(time_point::max()),
                        now + coordinator_interval);
    if (!next || (timer_ != 0 && timer_at_ <= *next))
        return;
    if (timer_ != 0)
        loop_.cancel(timer_);
    timer_at_ = *next;
    timer_ = loop_.call_later(std::max<duration>(*next - now, 0ms), [this] {
        timer_ = 0;
        tick();
    });
}

service_permits::totals service_permits::coordinated() const
{
    totals out;
    for (const auto& [service, s] : coordinated_) {
        out.permits += s.permits.permits();
        out.in_use += static_cast<double>(s.permits.in_use());
        out.waiting += static_cast<double>(s.permits.waiting());
    }
    return out;
}

} // namespace lovagegate::capacity
