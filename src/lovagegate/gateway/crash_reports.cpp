#include "lovagegate/gateway/crash_reports.hpp"

#include "lovagegate/logging/log.hpp"

#include <limits>
#include <set>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Fingerprints of up to nine bytes after which a notice is sent, so that it
/// fits into one packet as a rule.
constexpr std::size_t max_fingerprints = 100;
/// How long a run that was found to have ended is remembered in case reports of
/// broken connections follow, which take milliseconds.
constexpr duration refused_run_ttl = 5s;
/// Time after which the next instance may try a part too: the first one may get
/// no request with it, or have just ended.
constexpr duration trial_turn = 1s;
/// Blocked parts that are repeated in one datagram, those with the latest
/// crashes.
constexpr std::size_t max_repeated_parts = 32;
/// Crashes after which a receiver could block a part or a request that the
/// sender knows to be harmless.
constexpr std::size_t min_crashes_to_clear = 3;

std::size_t fingerprint_count(const crash_notice& notice)
{
    std::size_t count = 0;
    for (const auto& r : notice.requests)
        count += 2 + r.prompt_parts.size();
    return count;
}

} // namespace

crash_reports::crash_reports(counters& counts, callbacks c)
    : counts_(counts), callbacks_(std::move(c))
{
}

void crash_reports::on_connection_broken(const crashes::crash_traits& request,
                                         std::string_view run,
                                         bool answer_begun, time_point now)
{
    crashes::crash_traits evidence = request;
    if (answer_begun)
        evidence.prompt_parts.clear();
    record_break(evidence, run, now);
    crash_notice& notice = notices_[std::string(run)];
    notice.engine = run;
    notice.requests.push_back(evidence);
    if (fingerprint_count(notice) >= max_fingerprints)
        send_notices();
}

void crash_reports::record_break(const crashes::crash_traits& request,
                                 std::string_view run, time_point now)
{
    crashes_.on_connection_broken(request, run, now);
    requests_.on_connection_broken(request.request, run, now);
    announce_blocked(prompt_parts_.on_connection_broken(request, run, now), run,
                     now);
}

void crash_reports::send_notices()
{
    for (const auto& [run, notice] : std::exchange(notices_, {}))
        callbacks_.send_to_all(notice);
}

void crash_reports::on_run_ended(std::string_view run, time_point now)
{
    crashes_.on_run_ended(run, now);
    counts_.add("crashes_counted", requests_.on_run_ended(run, now));
    for (const auto& ended : requests_.runs_ended_by_blocked(run, now))
        prompt_parts_.on_run_ended_by_blocked_request(ended);
    announce_blocked(prompt_parts_.on_run_ended(run, now), run, now);
}

void crash_reports::on_connection_refused(std::string_view run, time_point now)
{
    const bool awaited = prompt_parts_.is_end_awaited(run);
    on_run_ended(run, now);
    if (awaited)
        callbacks_.send_to_all(crash_notice{std::string(run), {}, true});
    else
        refused_runs_.emplace(std::string(run), now);
}

void crash_reports::on_answer_begun(const crashes::crash_traits& request,
                                    time_point now)
{
    auto parts = record_answer(request.prompt_parts, now, now);
    if (!parts.empty())
        callbacks_.send_to_all(
            answered_prompt_parts{std::move(parts), duration::zero()});
}

void crash_reports::on_answered(const crashes::crash_traits& request,
                                time_point now)
{
    on_begun_answer_ended(request, now);
    on_answer_begun(request, now);
}

void crash_reports::on_begun_answer_ended(const crashes::crash_traits& request,
                                          time_point now)
{
    requests_.on_answer(request.request, now);
}

void crash_reports::on_message(const crash_notice& notice, time_point now)
{
    if (notice.since_break < duration::zero() ||
        notice.since_end < duration::zero()) {
        counts_.add("peer_datagrams_invalid");
        return;
    }
    for (const auto& request : notice.requests)
        record_break(request, notice.engine, now - notice.since_break);
    if (notice.run_ended) {
        on_run_ended(notice.engine, now - notice.since_end);
        return;
    }
    // This instance found the end of the run before it knew that it matters.
    if (const auto it = refused_runs_.find(notice.engine);
        it != refused_runs_.end()) {
        refused_runs_.erase(it);
        callbacks_.send_to_all(crash_notice{notice.engine, {}, true});
    }
}

void crash_reports::on_message(const answered_prompt_parts& answered,
                               time_point now)
{
    if (answered.age < duration::zero()) {
        counts_.add("peer_datagrams_invalid");
        return;
    }
    record_answer(answered.parts, now - answered.age, now);
    for (const fingerprint request : answered.requests)
        requests_.on_answer_told(request, now - answered.age);
}

void crash_reports::on_message(const std::string& from,
                               const crash_digest& digest, time_point now)
{
    using purpose = crash_digest::purpose;
    send_crashes(from, digest.crashes, now);
    if (digest.use == purpose::question)
        callbacks_.send_to(from,
                           crash_digest{crashes_.digest(now), purpose::answer});
    else if (digest.use == purpose::announcement &&
             crashes_.lacks_any(digest.crashes, now))
        ask(from, now);
}

void crash_reports::ask(const std::string& address, time_point now)
{
    callbacks_.send_to(address, crash_digest{crashes_.digest(now),
                                             crash_digest::purpose::question});
}

void crash_reports::send_crashes(const std::string& address,
                                 std::span<const fingerprint> known,
                                 time_point now)
{
    const auto missing = crashes_.missing_in(known, now);
    if (missing.empty())
        return;
    counts_.add("crashes_told_again", missing.size());
    send_answers(address, missing, now);
    for (const crashes::crash_record* r : missing) {
        crash_notice notice{
            r->run, {}, true, now - r->broken_at, now - *r->ended_at};
        for (const auto& request : r->requests) {
            notice.requests.push_back(request);
            if (fingerprint_count(notice) < max_fingerprints)
                continue;
            callbacks_.send_to(address, notice);
            notice.requests.clear();
        }
        if (!notice.requests.empty())
            callbacks_.send_to(address, notice);
    }
    if (const auto blocked = prompt_parts_.blocked(max_repeated_parts, now);
        !blocked.empty())
        callbacks_.send_to(address, make_message(blocked, now));
}

void crash_reports::send_answers(
    const std::string& address,
    std::span<const crashes::crash_record* const> crashes, time_point now)
{
    std::map<fingerprint, std::size_t> parts;
    std::map<fingerprint, std::size_t> requests;
    for (const crashes::crash_record* r : crashes) {
        std::set<fingerprint> of_run;
        for (const auto& request : r->requests) {
            of_run.insert(request.prompt_parts.begin(),
                          request.prompt_parts.end());
            ++requests[request.request];
        }
        for (const fingerprint part : of_run)
            ++parts[part];
    }
    for (const auto& [part, count] : parts)
        if (const auto at = prompt_parts_.last_answer(part);
            at && count >= min_crashes_to_clear)
            callbacks_.send_to(address,
                               answered_prompt_parts{{part}, now - *at});
    for (const auto& [request, count] : requests)
        if (const auto at = requests_.last_answer(request);
            at && count >= min_crashes_to_clear)
            callbacks_.send_to(address,
                               answered_prompt_parts{{}, now - *at, {request}});
}

void crash_reports::on_message(const std::string& from,
                               const blocked_prompt_parts& blocked,
                               time_point now)
{
    std::vector<fingerprint> added;
    for (const auto& entry : blocked.parts) {
        if (entry.since_last_crash < duration::zero() ||
            entry.since_first_crash < entry.since_last_crash ||
            entry.since_last_trial < duration::zero()) {
            counts_.add("peer_datagrams_invalid");
            continue;
        }
        switch (prompt_parts_.on_blocked_by_peer(
            {entry.part, now - entry.since_first_crash,
             now - entry.since_last_crash, entry.in_doubt, entry.trials,
             now - entry.since_last_trial},
            now)) {
        case peer_block::added:
            added.push_back(entry.part);
            break;
        case peer_block::refuted:
            if (const auto at = prompt_parts_.last_answer(entry.part))
                callbacks_.send_to(
                    from, answered_prompt_parts{{entry.part}, now - *at});
            break;
        case peer_block::known:
            break;
        }
    }
    announce_blocked(added, "told by " + from, now);
}

crash_verdict crash_reports::verdict(const crashes::crash_traits& request,
                                     time_point now) const
{
    if (requests_.is_blocked(request.request, now))
        return crash_verdict::crashing_request;
    if (!prompt_parts_.blocked_among(request.prompt_parts, now))
        return crash_verdict::harmless;
    return part_to_try(request, now) ? crash_verdict::may_try_prompt_part
                                     : crash_verdict::crashing_prompt_part;
}

std::optional<fingerprint>
crash_reports::part_to_try(const crashes::crash_traits& request,
                           time_point now) const
{
    std::optional<fingerprint> blocked;
    for (const fingerprint& part : request.prompt_parts) {
        if (!prompt_parts_.blocked_among(std::span(&part, 1), now))
            continue;
        if (blocked && *blocked != part)
            return std::nullopt; // a crash would not show which one caused it
        blocked = part;
    }
    if (!blocked)
        return std::nullopt;
    const auto due = prompt_parts_.trial_due(*blocked, now);
    if (!due || now < *due || now < *due + trial_turn * callbacks_.trial_rank())
        return std::nullopt;
    return blocked;
}

void crash_reports::begin_trial(const crashes::crash_traits& request,
                                std::string_view attempt, time_point now)
{
    const auto part = part_to_try(request, now);
    if (!part)
        return;
    counts_.add("prompt_part_trials");
    logging::write(logging::level::warning, "prompt_part_trial",
                   {{"part", *part}, {"request", attempt}});
    const auto block = prompt_parts_.on_trial(*part, now);
    callbacks_.send_to_all(make_message(std::span(&block, 1), now));
}

blocked_prompt_parts crash_reports::make_message(
    std::span<const crashing_prompt_parts::blocked_part> blocked,
    time_point now) const
{
    blocked_prompt_parts message;
    for (const auto& b : blocked)
        message.parts.push_back(
            {b.part, now - b.first_crash, now - b.last_crash, b.in_doubt,
             b.trials, b.trials > 0 ? now - b.last_trial : duration::zero()});
    return message;
}

void crash_reports::repeat(const std::string& address, time_point now)
{
    if (auto known = crashes_.digest(now); !known.empty())
        callbacks_.send_to(address, crash_digest{std::move(known)});
    const auto blocked = prompt_parts_.blocked(max_repeated_parts, now);
    if (!blocked.empty())
        callbacks_.send_to(address, make_message(blocked, now));
}

std::size_t crash_reports::blocked_parts(time_point now) const
{
    return prompt_parts_.blocked(std::numeric_limits<std::size_t>::max(), now)
        .size();
}

std::vector<fingerprint>
crash_reports::record_answer(std::span<const fingerprint> parts, time_point at,
                             time_point now)
{
    std::vector<fingerprint> blocked_before;
    for (const fingerprint& part : parts)
        if (blocked_among(std::span(&part, 1), now))
            blocked_before.push_back(part);
    auto effect = prompt_parts_.on_answer(parts, at, now);
    for (const fingerprint& part : blocked_before)
        if (!blocked_among(std::span(&part, 1), now)) {
            counts_.add("prompt_parts_cleared");
            logging::write(logging::level::info, "prompt_part_cleared",
                           {{"part", part}});
        }
    announce_blocked(effect.blocked, "answers to the other parts", now);
    return std::move(effect.suspected);
}

void crash_reports::announce_blocked(std::span<const fingerprint> parts,
                                     std::string_view evidence, time_point now)
{
    if (parts.empty())
        return;
    for (const fingerprint part : parts) {
        counts_.add("prompt_parts_blocked");
        logging::write(
            logging::level::warning, "prompt_part_blocked",
            {{"part", part},
             {"evidence", evidence},
             {"in_doubt", prompt_parts_.trial_due(part, now) ? "yes" : "no"}});
    }
    // Others may lack a part of the evidence.
    const auto latest = prompt_parts_.blocked(parts.size(), now);
    if (!latest.empty())
        callbacks_.send_to_some(make_message(latest, now));
    callbacks_.on_blocked();
}

void crash_reports::expire(time_point now)
{
    crashes_.expire(now);
    requests_.expire(now);
    std::erase_if(refused_runs_, [&](const auto& refused) {
        return now - refused.second > refused_run_ttl;
    });
    prompt_parts_.expire(now);
}

} // namespace lovagegate::gateway
