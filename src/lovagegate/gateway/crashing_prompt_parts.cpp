#include "lovagegate/gateway/crashing_prompt_parts.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/crashes/crash_times.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagegate::gateway {

using crashes::run_end_window;
using crashes::suspicion_ttl;

namespace {

/// Crashes after which a part is blocked that no engine has answered lately. A
/// sound part is rarely waiting for its answer at three crashes in a row.
constexpr std::size_t crash_limit = 3;
/// The same for a part that an engine has answered within answer_ttl, and how
/// many of these crashes must not be close together: while no engine answers,
/// popular parts wait at every crash.
constexpr std::size_t answered_crash_limit = 5;
constexpr std::size_t answered_separate_limit = 2;
/// Crashes closer together than this count as one: engines that are lost for
/// one reason, such as a failure domain without power, are lost almost at once,
/// and popular parts wait at many of them.
constexpr duration min_crash_distance = 100ms;
/// Crashes after which a part that no engine has answered lately is blocked
/// although they are close together, since many requests with it may arrive at
/// once, or under requests that are blocked themselves, since each of these may
/// be sent to several engines. These engines may also have been lost for other
/// reasons.
constexpr std::size_t burst_crash_limit = 5;
/// A blocked part is tried this long after it was blocked, when the requests
/// that were at engines then have been cancelled.
constexpr duration first_trial_delay = 1s;
/// Time in which a request that tries a part is answered or its engine's crash
/// is known.
constexpr duration trial_timeout = 15s;
/// Between the trials of different parts: one may crash the engine that the
/// next would run on, and that crash would count against both parts.
constexpr duration trial_gap = 2s;
/// Trials after which the next one is delayed more, since each may cost an
/// engine.
constexpr std::uint32_t max_quick_trials = 2;
constexpr duration late_trial_delay = 60s;
/// Different requests that must be in the crashes of one part. If all crashes
/// are of a single request, crash_suspects blocks that request alone.
constexpr std::size_t min_requests = 2;
/// A blocked part is tried again this long after its last crash. Each trial
/// may cost several engines.
constexpr duration block_ttl = std::chrono::hours(1);
/// Bounds on memory, whatever callers and other instances send.
constexpr std::size_t max_runs = 1000;
constexpr std::size_t max_suspects = 10000;
/// Parts of which the latest answer is remembered, and for how long.
constexpr std::size_t max_answers = 10000;
constexpr duration answer_ttl = 120s;
/// Keeps fingerprints of parts apart from those of crash_suspects.
constexpr std::uint64_t part_seed = 4;

/// Adds a request unless there are already enough different ones.
void add_distinct(std::vector<fingerprint>& to, fingerprint request)
{
    if (to.size() < min_requests && std::ranges::find(to, request) == to.end())
        to.push_back(request);
}

} // namespace

fingerprint
crashing_prompt_parts::fingerprint_of(std::string_view part) noexcept
{
    return stable_hash(part, part_seed);
}

std::vector<fingerprint> crashing_prompt_parts::on_connection_broken(
    const crashes::crash_traits& request, std::string_view run, time_point now)
{
    if (request.prompt_parts.empty())
        return {};
    if (suspects_.size() >= max_suspects)
        expire(now);
    auto* const item = find_or_add_run(run, now);
    if (item == nullptr)
        return {};
    engine_run_evidence& r = item->second;
    r.last_break = now;
    if (r.ended_at && now - *r.ended_at > run_end_window)
        return {};
    for (const fingerprint part : request.prompt_parts) {
        if (!make_room_for(part))
            continue;
        suspects_[part].last_seen = now;
        broken_requests& broken = r.parts[part];
        broken.at = now;
        add_distinct(broken.requests, request.request_and_prompt);
        if (r.ended_at)
            add_crash(part, broken, *item);
    }
    return r.ended_at ? block_likely_causes(r, now)
                      : std::vector<fingerprint>{};
}

std::vector<fingerprint>
crashing_prompt_parts::on_run_ended(std::string_view run, time_point now)
{
    auto* const item = find_or_add_run(run, now);
    if (item == nullptr || item->second.ended_at)
        return {};
    engine_run_evidence& r = item->second;
    r.ended_at = now;
    // Earlier connections broke for another reason.
    std::erase_if(r.parts, [&](const auto& broken) {
        return now - broken.second.at > run_end_window;
    });
    for (const auto& [part, broken] : r.parts)
        add_crash(part, broken, *item);
    return block_likely_causes(r, now);
}

crashing_prompt_parts::run_map::value_type*
crashing_prompt_parts::find_or_add_run(std::string_view run, time_point now)
{
    const auto it = runs_.find(run);
    if (it != runs_.end())
        return &*it;
    if (runs_.size() >= max_runs)
        expire(now);
    if (runs_.size() >= max_runs)
        return nullptr;
    engine_run_evidence created;
    created.last_break = now;
    return &*runs_.emplace(std::string(run), std::move(created)).first;
}

bool crashing_prompt_parts::make_room_for(fingerprint part)
{
    if (suspects_.size() < max_suspects || suspects_.contains(part))
        return true;
    const auto least_suspected =
        std::ranges::find_if(suspects_, [](const auto& item) {
            return !item.second.blocked && item.second.crashes.empty();
        });
    if (least_suspected == suspects_.end())
        return false;
    suspects_.erase(least_suspected);
    return true;
}

void crashing_prompt_parts::add_crash(fingerprint part,
                                      const broken_requests& broken,
                                      run_map::value_type& run)
{
    const auto it = suspects_.find(part);
    if (it == suspects_.end())
        return;
    suspect& s = it->second;
    const auto answer = answers_.find(part);
    if (answer != answers_.end() && answer->second > broken.at)
        return;
    if (s.blocked) {
        s.last_crash = std::max(s.last_crash, broken.at);
        // Only a request that tried the part can have been sent so late.
        if (broken.at >= s.blocked_at + first_trial_delay)
            s.in_doubt = false;
        s.crashes.try_emplace(run.first, broken);
        explain(run, part);
    } else if (!run.second.explained) {
        // A later break of the same run is no further crash.
        broken_requests& crash =
            s.crashes.try_emplace(run.first, broken).first->second;
        crash.by_blocked_request = run.second.by_blocked_request;
        for (const fingerprint request : broken.requests)
            add_distinct(crash.requests, request);
    }
}

void crashing_prompt_parts::explain(run_map::value_type& run, fingerprint cause)
{
    if (run.second.explained)
        return;
    run.second.explained = true;
    for (const auto& [part, broken] : run.second.parts)
        if (const auto it = suspects_.find(part);
            part != cause && it != suspects_.end())
            it->second.crashes.erase(run.first);
}

void crashing_prompt_parts::explain_crashes_of(fingerprint part)
{
    for (const auto& [run, broken] : suspects_.at(part).crashes)
        if (const auto it = runs_.find(run); it != runs_.end())
            explain(*it, part);
}

crashing_prompt_parts::crash_summary
crashing_prompt_parts::summarize(const suspect& s)
{
    std::vector<time_point> times;
    std::vector<fingerprint> requests;
    for (const auto& [run, broken] : s.crashes) {
        if (!broken.by_blocked_request)
            times.push_back(broken.at);
        for (const fingerprint request : broken.requests)
            add_distinct(requests, request);
    }
    std::ranges::sort(times);
    std::size_t separate = 0;
    time_point counted{};
    for (const time_point at : times)
        if (separate == 0 || at - counted >= min_crash_distance) {
            counted = at;
            ++separate;
        }
    return {s.crashes.size(), times.size(), separate, requests.size()};
}

std::vector<fingerprint>
crashing_prompt_parts::likely_causes(const engine_run_evidence& run,
                                     time_point now) const
{
    std::vector<fingerprint> never_answered;
    std::vector<fingerprint> answered;
    std::size_t most_of_never_answered = 0;
    std::size_t most_of_answered = 0;
    for (const auto& [part, broken] : run.parts) {
        const auto it = suspects_.find(part);
        if (it == suspects_.end() || it->second.blocked ||
            it->second.crashes.size() < crash_limit)
            continue;
        const crash_summary found = summarize(it->second);
        const bool before = was_answered(part, now);
        // With a single request, the request itself may be the cause.
        if (found.requests < min_requests ||
            found.crashes < (before ? answered_crash_limit : crash_limit) ||
            found.separate < (before ? answered_separate_limit : crash_limit))
            continue;
        auto& parts = before ? answered : never_answered;
        auto& most = before ? most_of_answered : most_of_never_answered;
        if (found.crashes > most)
            parts.clear();
        if (found.crashes >= most)
            parts.push_back(part);
        most = std::max(most, found.crashes);
    }
    if (!never_answered.empty())
        return never_answered;
    if (auto parts = parts_of_many_crashes(run, now); !parts.empty())
        return parts;
    // Of several parts that were answered before, the next answer shows which
    // are harmless.
    return answered.size() == 1 ? answered : std::vector<fingerprint>{};
}

std::vector<fingerprint>
crashing_prompt_parts::parts_of_many_crashes(const engine_run_evidence& run,
                                             time_point now) const
{
    std::vector<fingerprint> parts;
    for (const auto& [part, broken] : run.parts) {
        const auto it = suspects_.find(part);
        if (it == suspects_.end() || was_answered(part, now) ||
            it->second.blocked)
            continue;
        const crash_summary found = summarize(it->second);
        if (found.all >= burst_crash_limit && found.requests >= min_requests)
            parts.push_back(part);
    }
    return parts;
}

std::vector<fingerprint>
crashing_prompt_parts::block_likely_causes(const engine_run_evidence& run,
                                           time_point now)
{
    std::vector<fingerprint> blocked;
    // A blocked part may explain the crashes of the others, so these are judged
    // again.
    for (auto causes = likely_causes(run, now); !causes.empty();
         causes = likely_causes(run, now)) {
        block_all(causes, now);
        blocked.insert(blocked.end(), causes.begin(), causes.end());
    }
    return blocked;
}

void crashing_prompt_parts::block_all(std::span<const fingerprint> parts,
                                      time_point now)
{
    for (const fingerprint part : parts) {
        suspect& s = suspects_.at(part);
        s.blocked = true;
        s.in_doubt = true;
        s.blocked_at = now;
        s.trials = 0;
        s.first_crash = time_point::max();
        for (const auto& [run, broken] : s.crashes) {
            s.first_crash = std::min(s.first_crash, broken.at);
            s.last_crash = std::max(s.last_crash, broken.at);
        }
    }
    // After all are blocked, since this erases crashes of the others.
    for (const fingerprint part : parts)
        explain_crashes_of(part);
}

crashing_prompt_parts::answer_effect
crashing_prompt_parts::on_answer(std::span<const fingerprint> parts,
                                 time_point at, time_point now)
{
    answer_effect effect;
    std::set<std::string> runs_to_judge;
    for (const fingerprint part : parts) {
        const auto it = suspects_.find(part);
        if (it != suspects_.end()) {
            suspect& s = it->second;
            const auto answer = answers_.find(part);
            if (s.blocked || answer == answers_.end() ||
                s.last_seen >= answer->second)
                effect.suspected.push_back(part);
            for (const auto& [run, broken] : s.crashes)
                runs_to_judge.insert(run);
            std::erase_if(s.crashes, [&](const auto& crash) {
                return crash.second.at <= at;
            });
            s.blocked = s.blocked && at <= s.first_crash;
        }
        remember_answer(part, at);
    }
    for (const auto& run : runs_to_judge)
        if (const auto it = runs_.find(run); it != runs_.end()) {
            const auto blocked = block_likely_causes(it->second, now);
            effect.blocked.insert(effect.blocked.end(), blocked.begin(),
                                  blocked.end());
        }
    return effect;
}

bool crashing_prompt_parts::was_answered(fingerprint part, time_point now) const
{
    const auto it = answers_.find(part);
    return it != answers_.end() && now - it->second <= answer_ttl;
}

void crashing_prompt_parts::remember_answer(fingerprint part, time_point at)
{
    if (answers_.size() >= max_answers && !answers_.contains(part)) {
        std::erase_if(answers_, [&](const auto& answer) {
            return at - answer.second > answer_ttl;
        });
        if (answers_.size() >= max_answers)
            answers_.erase(answers_.begin());
    }
    time_point& latest = answers_.try_emplace(part, at).first->second;
    latest = std::max(latest, at);
}

void crashing_prompt_parts::on_run_ended_by_blocked_request(
    std::string_view run)
{
    const auto it = runs_.find(run);
    if (it == runs_.end())
        return;
    it->second.by_blocked_request = true;
    for (const auto& [part, broken] : it->second.parts)
        if (const auto s = suspects_.find(part); s != suspects_.end())
            if (const auto crash = s->second.crashes.find(run);
                crash != s->second.crashes.end())
                crash->second.by_blocked_request = true;
}

peer_block crashing_prompt_parts::on_blocked_by_peer(const blocked_part& block,
                                                     time_point now)
{
    if (now - block.last_crash > block_ttl || !make_room_for(block.part))
        return peer_block::known;
    const auto answer = answers_.find(block.part);
    if (answer != answers_.end() && answer->second > block.first_crash)
        return peer_block::refuted;
    suspect& s = suspects_[block.part];
    s.last_crash = std::max(s.last_crash, block.last_crash);
    s.last_seen = std::max(s.last_seen, block.last_crash);
    if (s.blocked) {
        s.in_doubt = s.in_doubt && block.in_doubt;
        s.trials = std::max(s.trials, block.trials);
        s.last_trial = std::max(s.last_trial, block.last_trial);
        return peer_block::known;
    }
    s.blocked = true;
    s.in_doubt = block.in_doubt;
    s.blocked_at = now;
    s.trials = block.trials;
    s.last_trial = block.last_trial;
    s.first_crash = block.first_crash;
    explain_crashes_of(block.part);
    return peer_block::added;
}

std::optional<time_point>
crashing_prompt_parts::last_answer(fingerprint part) const
{
    const auto it = answers_.find(part);
    return it == answers_.end() ? std::nullopt : std::optional(it->second);
}

bool crashing_prompt_parts::is_end_awaited(std::string_view run) const
{
    const auto it = runs_.find(run);
    return it != runs_.end() && !it->second.ended_at;
}

bool crashing_prompt_parts::is_blocked(const suspect& s, time_point now)
{
    return s.blocked && now - s.last_crash <= block_ttl;
}

std::optional<fingerprint>
crashing_prompt_parts::blocked_among(std::span<const fingerprint> parts,
                                     time_point now) const
{
    if (suspects_.empty())
        return std::nullopt;
    for (const fingerprint part : parts) {
        const auto it = suspects_.find(part);
        if (it != suspects_.end() && is_blocked(it->second, now))
            return part;
    }
    return std::nullopt;
}

std::vector<crashing_prompt_parts::blocked_part>
crashing_prompt_parts::blocked(std::size_t count, time_point now) const
{
    std::vector<blocked_part> all;
    for (const auto& [part, s] : suspects_)
        if (is_blocked(s, now))
            all.push_back(describe(part, s));
    std::ranges::sort(all, std::ranges::greater{}, &blocked_part::last_crash);
    if (all.size() > count)
        all.resize(count);
    return all;
}

crashing_prompt_parts::blocked_part
crashing_prompt_parts::describe(fingerprint part, const suspect& s)
{
    return {part,       s.first_crash, s.last_crash,
            s.in_doubt, s.trials,      s.last_trial};
}

std::optional<time_point> crashing_prompt_parts::trial_due(fingerprint part,
                                                           time_point now) const
{
    const auto it = suspects_.find(part);
    if (it == suspects_.end() || !is_blocked(it->second, now) ||
        !it->second.in_doubt)
        return std::nullopt;
    const suspect& s = it->second;
    time_point first = s.blocked_at + first_trial_delay;
    for (const auto& [other, o] : suspects_)
        if (other != part && o.blocked && o.trials > 0)
            first = std::max(first, o.last_trial + trial_gap);
    if (s.trials == 0)
        return first;
    return std::max(first, s.last_trial + (s.trials < max_quick_trials
                                               ? trial_timeout
                                               : late_trial_delay));
}

crashing_prompt_parts::blocked_part
crashing_prompt_parts::on_trial(fingerprint part, time_point now)
{
    suspect& s = suspects_[part];
    ++s.trials;
    s.last_trial = now;
    return describe(part, s);
}

void crashing_prompt_parts::expire(time_point now)
{
    std::erase_if(suspects_, [&](const auto& item) {
        const suspect& s = item.second;
        return !is_blocked(s, now) &&
               now - s.last_seen >
                   (s.crashes.empty() ? run_end_window : suspicion_ttl);
    });
    std::erase_if(answers_, [&](const auto& answer) {
        return now - answer.second > answer_ttl;
    });
    std::erase_if(runs_, [&](const auto& item) {
        const engine_run_evidence& r = item.second;
        return now - r.ended_at.value_or(r.last_break) >
               (r.ended_at ? suspicion_ttl : run_end_window);
    });
}

} // namespace lovagegate::gateway
