#include "lovagegate/capacity/permit_coordinator.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace lovagegate::capacity {

using namespace gateway;

namespace {

/// Run time that is assumed before the first answer.
constexpr duration initial_run_time = 50ms;
/// A permit that isn't given back ends after this multiple of the run time: its
/// holder has ended, or its release was lost.
constexpr int lease_run_times = 3;
constexpr duration min_lease = 100ms;
/// A target has stopped if living holders let so many of its leases expire and
/// none got an answer meanwhile.
constexpr std::uint32_t max_expired_leases = 3;
/// Largest multiple of the mean run time that is allowed for when it is decided
/// whether a request can meet its objective: runs differ, and the target queues
/// a few requests.
constexpr double run_time_allowance = 1.3;
/// For the way of the grant, of the request and of the answer.
constexpr duration transit_allowance = 20ms;
/// A queue that never empties for this time is no burst. Waiting longer then
/// serves nobody more, so requests may wait for this share of their time only.
constexpr duration max_burst_time = 300ms;
constexpr double standing_queue_share = 0.6;
/// A request that waits is acknowledged after this time. Its sender goes on
/// alone 40 ms after its request.
constexpr duration sign_delay = 15ms;
/// Time over which the use of the targets is averaged.
constexpr duration use_time = 2s;
/// Use of the slots below which requests needn't ask. Above it, queues begin to
/// form where instances choose alone.
constexpr double low_use = 0.5;
/// Time for which requests needn't ask.
constexpr duration no_request_time = 1s;
/// The use is unknown for this time after the coordinator's start.
constexpr duration use_learning_time = 500ms;
/// Callers are told to come back at this share of the rate that the targets
/// serve, not all at once.
constexpr double return_share = 0.15;
constexpr duration min_retry_after = 200ms;
/// Bounds for times that datagrams state.
constexpr duration max_run_time = 60s;
constexpr duration max_time_left = 1h;
/// Bounds for rates that are computed from few answers.
constexpr double min_run_seconds = 0.001;
constexpr double min_per_second = 0.1;
/// Time with a queue, of the last seconds, in which its rate is measured.
constexpr double min_queued_seconds = 0.5;

} // namespace

permit_coordinator::permit_coordinator(counters& counts,
                                       std::uint64_t random_seed)
    : counts_(counts), random_(random_seed)
{
}

void permit_coordinator::set_targets(std::span<const permit_target> targets)
{
    const auto is_gone = [&](const std::string& id) {
        return std::ranges::find(targets, id, &permit_target::id) ==
               targets.end();
    };
    std::erase_if(targets_, [&](const auto& t) { return is_gone(t.first); });
    std::erase_if(leases_,
                  [&](const auto& l) { return is_gone(l.second.target); });
    for (const auto& t : targets) {
        const auto it =
            targets_
                .try_emplace(t.id, target_record{concurrency_limit(t.slots), 0})
                .first;
        it->second.limit.set_slots(t.slots);
    }
}

std::uint32_t permit_coordinator::permits() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, t] : targets_)
        sum += t.limit.value();
    return sum;
}

std::uint32_t permit_coordinator::slots() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, t] : targets_)
        sum += t.limit.slots();
    return sum;
}

duration permit_coordinator::mean_run_time() const
{
    return has_run_time_ ? std::max<duration>(mean_run_time_, 1ms)
                         : initial_run_time;
}

void permit_coordinator::observe_queue(time_point now)
{
    const double age = to_seconds(now - queue_observed_at_);
    queue_observed_at_ = now;
    if (age <= 0)
        return;
    const double kept = std::exp(-age / to_seconds(use_time));
    queued_seconds_ *= kept;
    served_from_queue_ *= kept;
    if (line_.size() > 0)
        queued_seconds_ += age;
}

double permit_coordinator::per_second() const
{
    // The rate at which a queue has just been served is better than any
    // computed from run times, which contain the delays of instances.
    if (queued_seconds_ > min_queued_seconds)
        return std::max(served_from_queue_ / queued_seconds_, min_per_second);
    double sum = 0;
    for (const auto& [id, t] : targets_) {
        const concurrency_limit& limit = t.limit;
        const double slots = std::min(limit.slots(), limit.value());
        // While all permits are in use, the run time contains the queue at the
        // target; with fewer in use it shows no queue.
        const double queued =
            to_seconds(limit.mean_run_time().value_or(mean_run_time())) *
            slots / limit.value();
        const double unqueued =
            to_seconds(limit.unqueued_run_time().value_or(duration::zero()));
        sum += slots / std::max({queued, unqueued, min_run_seconds});
    }
    return std::max(sum, min_per_second);
}

void permit_coordinator::record_busy(duration run_time, time_point now)
{
    run_time = std::min(run_time, max_run_time);
    constexpr double weight = 0.05;
    mean_run_time_ =
        has_run_time_
            ? mean_run_time_ + std::chrono::duration_cast<duration>(
                                   weight * (run_time - mean_run_time_))
            : run_time;
    has_run_time_ = true;
    busy_seconds_ *=
        std::exp(-to_seconds(now - busy_at_) / to_seconds(use_time));
    busy_seconds_ += to_seconds(run_time);
    busy_at_ = now;
}

double permit_coordinator::use(time_point now) const
{
    const double whole = to_seconds(use_time);
    const double age = to_seconds(now - started_);
    const double covered = whole * (1 - std::exp(-std::max(age, 0.1) / whole));
    return busy_seconds_ * std::exp(-to_seconds(now - busy_at_) / whole) /
           covered / std::max(1U, slots());
}

duration permit_coordinator::unneeded_for(time_point now) const
{
    const bool is_low = now - started_ > use_learning_time &&
                        line_.size() == 0 && use(now) < low_use &&
                        leases_.size() < slots() && !has_weak_target(now);
    return is_low ? no_request_time : duration::zero();
}

void permit_coordinator::reply(const request_key& key, place_grant grant,
                               time_point now)
{
    grant.number = key.number;
    if (grant.answer != place_answer::waiting)
        grant.no_request_for = unneeded_for(now);
    out_.push_back({key.from, std::move(grant)});
}

void permit_coordinator::on_request(const std::string& from,
                                    const place_request& r, time_point now)
{
    if (started_ == time_point{})
        started_ = busy_at_ = now;
    last_heard_[from] = now;
    observe_queue(now);
    if (r.unpermitted > 0 && r.unpermitted_run_time > duration::zero()) {
        const duration each = r.unpermitted_run_time / r.unpermitted;
        constexpr std::uint32_t most = 100; // bounds the loop
        for (std::uint32_t i = 0; i < std::min(r.unpermitted, most); ++i)
            record_busy(each, now);
    }
    on_release(from, r.released, now);
    const request_key key{from, r.number};
    if (r.needs_no_permit || targets_.empty()) {
        reply(key, {}, now);
        return;
    }
    if (waiting_ids_.contains(key))
        return; // a doubled datagram
    if (const auto held = leases_.find(key); held != leases_.end()) {
        reply(key, {0, place_answer::granted, held->second.target, {}, {}},
              now);
        return;
    }
    if (line_.size() == 0)
        idle_at_ = now;
    const admission::waiting_request waiting{
        ++last_id_,
        r.priority,
        r.workspace,
        r.kind,
        now,
        now + longest_wait(r.objective_left, now),
        now + longest_wait(r.deadline_left, now)};
    senders_[last_id_] = {key, now + sign_delay};
    requests_[last_id_] = waiting;
    waiting_ids_[key] = last_id_;
    refuse(line_.add(waiting, per_second(), now), now);
    grant_free_permits(now);
    // A sign that is due soon is sent at once: this process may be late then.
    if (const auto it = senders_.find(waiting.id);
        it != senders_.end() &&
        line_.expected_wait(waiting.id, per_second()) > sign_delay)
        send_sign(waiting.id, it->second, now);
}

duration permit_coordinator::longest_wait(duration time_left,
                                          time_point now) const
{
    const duration answer_time = std::chrono::duration_cast<duration>(
                                     run_time_allowance * mean_run_time()) +
                                 transit_allowance;
    const duration wait =
        std::clamp<duration>(time_left, -max_time_left, max_time_left) -
        answer_time;
    const bool stands = now - idle_at_ > max_burst_time;
    return wait > duration::zero() && stands
               ? std::chrono::duration_cast<duration>(wait *
                                                      standing_queue_share)
               : wait;
}

std::map<std::string, permit_coordinator::target_record>::iterator
permit_coordinator::choose_target(time_point now)
{
    // Requests had better wait than go to a target that has stopped.
    const bool all_avoided = std::ranges::all_of(targets_, [&](const auto& t) {
        return t.second.limit.is_avoided(now);
    });
    const auto use_of = [](const target_record& t) {
        return static_cast<double>(t.in_use) / t.limit.value();
    };
    auto best = targets_.end();
    for (auto it = targets_.begin(); it != targets_.end(); ++it) {
        const concurrency_limit& limit = it->second.limit;
        if (it->second.in_use >= limit.value() ||
            (limit.is_avoided(now) && !all_avoided))
            continue;
        if (best == targets_.end() || use_of(it->second) < use_of(best->second))
            best = it;
    }
    return best;
}

void permit_coordinator::grant_free_permits(time_point now)
{
    while (line_.size() > 0) {
        const auto target = choose_target(now);
        if (target == targets_.end())
            return;
        const auto next = line_.take_next(now);
        if (next->arrived < now)
            served_from_queue_ += 1;
        const request_key key = senders_.at(next->id).key;
        senders_.erase(next->id);
        requests_.erase(next->id);
        waiting_ids_.erase(key);
        grant(key, target->first, target->second, now);
    }
}

void permit_coordinator::grant(const request_key& key,
                               const std::string& target, target_record& t,
                               time_point now)
{
    ++t.in_use;
    const duration lease_time =
        std::max(min_lease, lease_run_times * mean_run_time());
    leases_[key] = {target, t.in_use, now, now + lease_time};
    counts_.add("permits_granted");
    reply(key, {0, place_answer::granted, target, {}, {}}, now);
}

void permit_coordinator::on_release(
    const std::string& from, std::span<const place_release::entry> entries,
    time_point now)
{
    last_heard_[from] = now;
    observe_queue(now);
    for (const auto& e : entries) {
        const request_key key{from, e.number};
        if (const auto waiting = waiting_ids_.find(key);
            waiting != waiting_ids_.end()) {
            line_.remove(waiting->second);
            senders_.erase(waiting->second);
            requests_.erase(waiting->second);
            waiting_ids_.erase(waiting);
            continue;
        }
        const auto it = leases_.find(key);
        if (e.outcome == permit_outcome::answered &&
            e.run_time > duration::zero())
            record_busy(e.run_time, now);
        if (it == leases_.end())
            continue; // its lease has ended, or the datagram was doubled
        if (const auto t = targets_.find(it->second.target);
            t != targets_.end()) {
            concurrency_limit& limit = t->second.limit;
            if (e.outcome == permit_outcome::answered) {
                t->second.expired = 0;
                limit.on_answer(
                    std::clamp<duration>(e.run_time, 0ms, max_run_time),
                    now - it->second.granted_at, it->second.in_use);
            } else if (e.outcome == permit_outcome::rejected)
                limit.on_rejection(now);
            else if (e.outcome == permit_outcome::failed)
                limit.on_failure(now);
        }
        end_lease(it);
    }
    grant_free_permits(now);
}

void permit_coordinator::end_lease(std::map<request_key, lease>::iterator it)
{
    if (const auto t = targets_.find(it->second.target);
        t != targets_.end() && t->second.in_use > 0)
        --t->second.in_use;
    leases_.erase(it);
}

void permit_coordinator::on_expired(const request_key& key, const lease& l,
                                    time_point now)
{
    const auto t = targets_.find(l.target);
    const auto heard = last_heard_.find(key.from);
    if (t == targets_.end() || heard == last_heard_.end() ||
        heard->second <= l.granted_at)
        return; // the holder may have ended
    if (++t->second.expired < max_expired_leases)
        return;
    t->second.expired = 0;
    t->second.limit.on_stopped(now);
}

bool permit_coordinator::has_weak_target(time_point now) const
{
    return std::ranges::any_of(targets_, [&](const auto& t) {
        const concurrency_limit& limit = t.second.limit;
        return limit.is_avoided(now) || limit.value() < limit.slots();
    });
}

void permit_coordinator::end_expired_leases(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();) {
        const auto next = std::next(it);
        if (it->second.ends <= now) {
            counts_.add("permits_expired");
            on_expired(it->first, it->second, now);
            end_lease(it);
        }
        it = next;
    }
}

void permit_coordinator::refuse(
    std::span<const admission::refused_request> refused, time_point now)
{
    for (const auto& r : refused) {
        const request_key key = senders_.at(r.id).key;
        const auto reason = static_cast<place_refusal_reason>(r.reason);
        constexpr std::array<std::string_view, 3> names{"overload", "late",
                                                        "deadline"};
        counts_.add("permits_refused", "reason",
                    names.at(static_cast<std::size_t>(r.reason)));
        out_.push_back(
            {key.from,
             place_refusal{key.number, retry_after(requests_.at(r.id), now),
                           reason}});
        senders_.erase(r.id);
        requests_.erase(r.id);
        waiting_ids_.erase(key);
    }
}

duration permit_coordinator::retry_after(const admission::waiting_request& r,
                                         time_point now)
{
    const double interval = 1 / (return_share * per_second());
    next_return_ =
        std::max(next_return_ + from_seconds(interval), now + min_retry_after);
    if (next_return_ <= r.latest_start)
        return next_return_ - now;
    // So many were refused that their turn comes after the deadline of this
    // one; it may still be lucky at any time.
    next_return_ -= from_seconds(interval);
    const auto longest = std::max(min_retry_after, r.latest_start - now);
    return duration(std::uniform_int_distribution<duration::rep>(
        min_retry_after.count(), longest.count())(random_));
}

void permit_coordinator::send_signs(time_point now)
{
    for (auto& [id, sender] : senders_)
        if (now >= sender.next_sign)
            send_sign(id, sender, now);
}

void permit_coordinator::send_sign(std::uint64_t id, waiting_sender& sender,
                                   time_point now)
{
    const duration wait = line_.expected_wait(id, per_second());
    sender.next_sign = now + wait + sign_delay;
    reply(sender.key, {0, place_answer::waiting, {}, wait, {}}, now);
}

void permit_coordinator::release_all_waiting(time_point now)
{
    for (const auto& [id, sender] : senders_) {
        line_.remove(id);
        reply(sender.key, {}, now);
    }
    senders_.clear();
    requests_.clear();
    waiting_ids_.clear();
}

void permit_coordinator::tick(time_point now)
{
    observe_queue(now);
    if (targets_.empty())
        release_all_waiting(now);
    end_expired_leases(now);
    refuse(line_.expire(per_second(), now), now);
    grant_free_permits(now);
    send_signs(now);
}

std::vector<outgoing_message> permit_coordinator::take_messages()
{
    return std::exchange(out_, {});
}

} // namespace lovagegate::capacity
