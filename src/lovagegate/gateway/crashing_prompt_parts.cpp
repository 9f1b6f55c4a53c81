#include "lovagegate/gateway/crashing_prompt_parts.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Crashes after which a part is blocked. A sound part is rarely waiting for
/// its answer at three crashes in a row.
constexpr std::size_t crash_limit = 3;
/// Crashes closer together than this count as one.
constexpr duration min_crash_distance = 100ms;
/// Different requests that must be in the crashes of one part.
constexpr std::size_t min_requests = 2;
/// A crashed engine refuses connections, is listed with a new start time or
/// expires from the store within seconds.
constexpr duration run_end_window = 15s;
/// Suspicion ends if a part is in no further crash for this long.
constexpr duration suspect_ttl = 120s;
/// A blocked part is tried again this long after its last crash. Each trial
/// may cost several engines.
constexpr duration block_ttl = std::chrono::hours(1);
constexpr std::size_t max_runs = 1000;
constexpr std::size_t max_suspects = 10000;
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
    const crash_traits& request, std::string_view run, time_point now)
{
    if (request.prompt_parts.empty())
        return {};
    if (suspects_.size() >= max_suspects || runs_.size() >= max_runs)
        expire(now);
    auto& item = find_or_add_run(run, now);
    engine_run_evidence& r = item.second;
    if (r.ended_at && now - *r.ended_at > run_end_window)
        return {};
    for (const fingerprint part : request.prompt_parts) {
        if (suspects_.size() >= max_suspects && !suspects_.contains(part))
            continue;
        suspects_[part].last_seen = now;
        broken_requests& broken = r.parts[part];
        broken.at = now;
        add_distinct(broken.requests, request.request_and_prompt);
        if (r.ended_at)
            add_crash(part, broken, item);
    }
    return r.ended_at ? block_likely_causes(r) : std::vector<fingerprint>{};
}

std::vector<fingerprint>
crashing_prompt_parts::on_run_ended(std::string_view run, time_point now)
{
    auto& item = find_or_add_run(run, now);
    engine_run_evidence& r = item.second;
    if (r.ended_at)
        return {};
    r.ended_at = now;
    // Earlier connections broke for another reason.
    std::erase_if(r.parts, [&](const auto& broken) {
        return now - broken.second.at > run_end_window;
    });
    for (const auto& [part, broken] : r.parts)
        add_crash(part, broken, item);
    return block_likely_causes(r);
}

crashing_prompt_parts::run_map::value_type&
crashing_prompt_parts::find_or_add_run(std::string_view run, time_point now)
{
    const auto it = runs_.find(run);
    if (it != runs_.end())
        return *it;
    engine_run_evidence created;
    created.created_at = now;
    return *runs_.emplace(std::string(run), std::move(created)).first;
}

void crashing_prompt_parts::add_crash(fingerprint part,
                                      const broken_requests& broken,
                                      run_map::value_type& run)
{
    const auto it = suspects_.find(part);
    if (it == suspects_.end())
        return;
    suspect& s = it->second;
    if (s.answered_at && *s.answered_at > broken.at)
        return;
    if (s.blocked) {
        s.last_crash = std::max(s.last_crash, broken.at);
        explain(run);
    } else if (!run.second.explained) {
        s.crashes.insert_or_assign(run.first, broken);
    }
}

void crashing_prompt_parts::explain(run_map::value_type& run)
{
    if (run.second.explained)
        return;
    run.second.explained = true;
    for (const auto& [part, broken] : run.second.parts)
        if (const auto it = suspects_.find(part); it != suspects_.end())
            it->second.crashes.erase(run.first);
}

void crashing_prompt_parts::explain_crashes_of(suspect& s)
{
    // explain() erases crashes of the same suspect.
    for (const auto& [run, broken] : std::exchange(s.crashes, {}))
        if (const auto it = runs_.find(run); it != runs_.end())
            explain(*it);
}

bool crashing_prompt_parts::is_likely_cause(const suspect& s)
{
    if (s.crashes.size() < crash_limit)
        return false;
    std::vector<time_point> times;
    std::vector<fingerprint> requests;
    for (const auto& [run, broken] : s.crashes) {
        times.push_back(broken.at);
        for (const fingerprint request : broken.requests)
            add_distinct(requests, request);
    }
    if (requests.size() < min_requests)
        return false; // a single request may be the cause
    std::ranges::sort(times);
    std::size_t separate = 1;
    time_point counted = times.front();
    for (const time_point at : times)
        if (at - counted >= min_crash_distance) {
            counted = at;
            ++separate;
        }
    return separate >= crash_limit;
}

std::vector<fingerprint>
crashing_prompt_parts::block_likely_causes(const engine_run_evidence& run)
{
    std::vector<fingerprint> blocked;
    for (;;) {
        // The parts that were in most crashes come first, because they may
        // explain the crashes of the others.
        std::size_t most = crash_limit;
        std::vector<fingerprint> causes;
        for (const auto& [part, broken] : run.parts) {
            const auto it = suspects_.find(part);
            if (it == suspects_.end() || it->second.crashes.size() < most ||
                !is_likely_cause(it->second))
                continue;
            if (it->second.crashes.size() > most)
                causes.clear();
            most = it->second.crashes.size();
            causes.push_back(part);
        }
        if (causes.empty())
            return blocked;
        for (const fingerprint part : causes) {
            suspect& s = suspects_.at(part);
            s.blocked = true;
            for (const auto& [name, broken] : s.crashes)
                s.last_crash = std::max(s.last_crash, broken.at);
            blocked.push_back(part);
        }
        for (const fingerprint part : causes)
            explain_crashes_of(suspects_.at(part));
    }
}

std::vector<fingerprint>
crashing_prompt_parts::on_answer(std::span<const fingerprint> parts,
                                 time_point now)
{
    std::vector<fingerprint> suspected;
    if (suspects_.empty())
        return suspected;
    for (const fingerprint part : parts) {
        const auto it = suspects_.find(part);
        if (it == suspects_.end())
            continue;
        suspect& s = it->second;
        if (s.blocked || !s.answered_at || s.last_seen >= *s.answered_at)
            suspected.push_back(part);
        s.blocked = false;
        s.crashes.clear();
        s.answered_at = now;
    }
    return suspected;
}

peer_block crashing_prompt_parts::on_blocked_by_peer(fingerprint part,
                                                     time_point last_crash,
                                                     time_point now)
{
    const bool is_full =
        suspects_.size() >= max_suspects && !suspects_.contains(part);
    if (now - last_crash > block_ttl || is_full)
        return peer_block::known;
    suspect& s = suspects_[part];
    if (s.answered_at && *s.answered_at > last_crash)
        return peer_block::refuted;
    s.last_crash = std::max(s.last_crash, last_crash);
    s.last_seen = std::max(s.last_seen, last_crash);
    if (std::exchange(s.blocked, true))
        return peer_block::known;
    explain_crashes_of(s);
    return peer_block::added;
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
            all.push_back({part, s.last_crash});
    std::ranges::sort(all, std::ranges::greater{}, &blocked_part::last_crash);
    if (all.size() > count)
        all.resize(count);
    return all;
}

void crashing_prompt_parts::expire(time_point now)
{
    std::erase_if(suspects_, [&](const auto& item) {
        const suspect& s = item.second;
        return !is_blocked(s, now) && now - s.last_seen > suspect_ttl;
    });
    std::erase_if(runs_, [&](const auto& item) {
        const engine_run_evidence& r = item.second;
        return now - r.ended_at.value_or(r.created_at) >
               (r.ended_at ? suspect_ttl : run_end_window);
    });
}

} // namespace lovagegate::gateway
