#include "lovagegate/capacity/permit_client.hpp"

#include <algorithm>

namespace lovagegate::capacity {

using namespace gateway;

namespace {

/// A request without any sign of the coordinator for this time is sent without
/// a permit.
constexpr duration sign_timeout = 40ms;
/// Time for which a silent coordinator isn't asked again.
constexpr duration distrust_time = 1s;
/// A coordinator that was silent once in this time, and answers after all, is
/// asked again: it was only kept from its core. One that is always too late
/// would delay each request.
constexpr duration forgiveness_interval = 5s;
/// If this process didn't run for this time, what the coordinator sent may be
/// unread yet.
constexpr duration max_tick_delay = 15ms;
constexpr duration unread_grace = 5ms;
/// Releases wait this long for a request to the same coordinator. A permit that
/// is on its way back serves nobody.
constexpr duration max_release_delay = 2ms;
/// Time after which a coordinator that said that permits aren't needed must
/// have said so again. Requests don't wait for its answer in this time.
constexpr duration renewal_time = 2s;
/// Between two questions whether permits still aren't needed.
constexpr duration renewal_interval = 250ms;
constexpr std::size_t max_renewals = 16;
constexpr std::size_t max_releases_in_message = 16;

} // namespace

permit_client::permit_client(counters& counts, std::uint64_t first_number)
    : counts_(counts), last_number_(first_number)
{
}

std::uint64_t permit_client::ask(const permit_question& q,
                                 const std::string& coordinator,
                                 decided_handler on_decided, time_point now)
{
    service_record& s = services_[q.service];
    if (now < s.unneeded_until)
        return 0;
    coordinator_record& c = coordinators_[coordinator];
    if (now < c.distrusted_until) {
        counts_.add("permit_fallback_sends", "reason", "distrusted");
        return 0;
    }
    // 0 stands for no question.
    const std::uint64_t number =
        ++last_number_ == 0 ? ++last_number_ : last_number_;
    counts_.add("permit_requests");
    if (now < s.renewable_until) {
        s.unneeded_until = now + renewal_interval;
        if (renewals_.size() >= max_renewals)
            renewals_.erase(renewals_.begin());
        renewals_[number] = q.service;
        send_request(q, coordinator, number, true);
        return 0;
    }
    questions_[number] = {q.service, coordinator,
                          now,       now + sign_timeout,
                          false,     std::move(on_decided)};
    send_request(q, coordinator, number, false);
    return number;
}

void permit_client::send_request(const permit_question& q,
                                 const std::string& coordinator,
                                 std::uint64_t number, bool needs_no_permit)
{
    service_record& s = services_[q.service];
    place_request m{q.service,       number,
                    q.priority,      q.workspace,
                    q.kind,          q.objective_left,
                    q.deadline_left, needs_no_permit,
                    s.unpermitted,   s.unpermitted_run_time};
    s.unpermitted = 0;
    s.unpermitted_run_time = {};
    if (const auto it = releases_.find({coordinator, q.service});
        it != releases_.end()) {
        m.released = std::move(it->second.entries);
        releases_.erase(it);
    }
    out_.push_back({coordinator, std::move(m)});
}

void permit_client::queue_release(const std::string& coordinator,
                                  const std::string& service,
                                  place_release::entry entry, time_point now)
{
    pending_releases& p = releases_[{coordinator, service}];
    if (p.entries.empty())
        p.due = now + max_release_delay;
    p.entries.push_back(entry);
    if (p.entries.size() >= max_releases_in_message)
        p.due = now;
}

void permit_client::cancel(std::uint64_t number, time_point now)
{
    const auto it = questions_.find(number);
    if (it == questions_.end())
        return;
    queue_release(it->second.coordinator, it->second.service, {number}, now);
    questions_.erase(it);
}

void permit_client::release(std::uint64_t number, permit_outcome outcome,
                            duration run_time, time_point now)
{
    const auto it = held_.find(number);
    if (it == held_.end())
        return;
    queue_release(it->second.coordinator, it->second.service,
                  {number, outcome, run_time}, now);
    held_.erase(it);
}

void permit_client::on_unpermitted_end(const std::string& service,
                                       permit_outcome outcome,
                                       duration run_time)
{
    service_record& s = services_[service];
    if (outcome == permit_outcome::answered) {
        ++s.unpermitted;
        s.unpermitted_run_time += run_time;
    } else if (outcome != permit_outcome::unused) {
        // A target is in trouble, which the coordinator may know.
        s.unneeded_until = s.renewable_until = {};
    }
}

void permit_client::apply_unneeded_time(service_record& s, duration time,
                                        time_point now)
{
    if (time <= duration::zero()) {
        s.unneeded_until = s.renewable_until = {};
        return;
    }
    s.unneeded_until = now + time;
    s.renewable_until = s.unneeded_until + renewal_time;
}

void permit_client::on_heard(const std::string& coordinator, time_point now)
{
    coordinator_record& c = coordinators_[coordinator];
    c.last_heard = now;
    if (c.may_be_forgiven)
        c.distrusted_until = {};
    c.may_be_forgiven = false;
}

void permit_client::on_message(const std::string& from, const place_grant& m,
                               time_point now)
{
    on_heard(from, now);
    if (const auto renewal = renewals_.find(m.number);
        renewal != renewals_.end()) {
        apply_unneeded_time(services_[renewal->second], m.no_request_for, now);
        renewals_.erase(renewal);
        return;
    }
    const auto it = questions_.find(m.number);
    if (it == questions_.end()) {
        // The request was sent without it, or has ended.
        if (m.answer != place_answer::granted || held_.contains(m.number))
            return;
        counts_.add("permits_late");
        // The service isn't known any more; the coordinator knows the number.
        out_.push_back({from, place_release{{}, {{m.number}}}});
        return;
    }
    if (m.answer == place_answer::waiting) {
        it->second.answer_due =
            now + std::clamp<duration>(m.expected_wait, 0ms, 1s) + sign_timeout;
        return;
    }
    apply_unneeded_time(services_[it->second.service], m.no_request_for, now);
    if (m.answer == place_answer::unmanaged) {
        decide(it, {});
        return;
    }
    held_[m.number] = {it->second.service, from};
    decide(it, {permit_decision::action::send_to_target, m.target, {}});
}

void permit_client::on_message(const std::string& from, const place_refusal& m,
                               time_point now)
{
    on_heard(from, now);
    const auto it = questions_.find(m.number);
    if (it == questions_.end())
        return;
    apply_unneeded_time(services_[it->second.service], {}, now);
    decide(it, {permit_decision::action::refuse,
                {},
                std::max<duration>(m.retry_after, 0ms)});
}

void permit_client::decide(std::map<std::uint64_t, question>::iterator it,
                           const permit_decision& decision)
{
    const decided_handler on_decided = std::move(it->second.on_decided);
    questions_.erase(it);
    on_decided(decision);
}

void permit_client::on_silence(std::map<std::uint64_t, question>::iterator it,
                               time_point now)
{
    const question& q = it->second;
    coordinator_record& c = coordinators_[q.coordinator];
    // A coordinator that answers others has lost this one only.
    if (c.last_heard < q.asked_at) {
        if (now >= c.distrusted_until) {
            silent_.push_back(q.coordinator);
            c.may_be_forgiven = c.silent_at == time_point{} ||
                                now - c.silent_at > forgiveness_interval;
            c.silent_at = now;
        }
        c.distrusted_until = now + distrust_time;
    }
    counts_.add("permit_fallback_sends", "reason", "silent");
    queue_release(q.coordinator, q.service, {it->first}, now);
    decide(it, {});
}

void permit_client::tick(time_point now)
{
    std::vector<std::uint64_t> due;
    for (auto& [number, q] : questions_) {
        if (now < q.answer_due)
            continue;
        if (!q.had_grace && now - q.answer_due > max_tick_delay) {
            q.had_grace = true;
            q.answer_due = now + unread_grace;
            continue;
        }
        due.push_back(number);
    }
    for (const auto number : due)
        if (const auto it = questions_.find(number); it != questions_.end())
            on_silence(it, now);
    std::erase_if(releases_, [&](auto& r) {
        if (now < r.second.due)
            return false;
        out_.push_back(
            {r.first.first, place_release{r.first.second, r.second.entries}});
        return true;
    });
}

std::optional<time_point> permit_client::next_tick() const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point t) {
        next = next ? std::min(*next, t) : t;
    };
    for (const auto& [number, q] : questions_)
        consider(q.answer_due);
    for (const auto& [key, r] : releases_)
        consider(r.due);
    return next;
}

std::vector<outgoing_message> permit_client::take_messages()
{
    return std::exchange(out_, {});
}

std::vector<std::string> permit_client::take_silent()
{
    return std::exchange(silent_, {});
}

} // namespace lovagegate::capacity
