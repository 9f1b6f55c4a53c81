#include "lovagegate/crashes/crash_log.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/crashes/crash_times.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::crashes {

namespace {

/// Bounds on memory, whatever callers and other instances send.
constexpr std::size_t max_records = 1000;
/// More than the largest batch and queue of an engine together.
constexpr std::size_t max_requests = 512;
/// Crashes that are exchanged. Their hashes fit into one packet.
constexpr std::size_t max_exchanged = 128;
/// Keeps hashes of runs apart from other hashes of the same text.
constexpr std::uint64_t run_seed = 5;
/// Stands for all requests of a record that takes no more of them.
constexpr fingerprint full_record = 1;

fingerprint hash_of(const crash_traits& t)
{
    fingerprint h = combine_hash(t.request, t.request_and_prompt);
    for (const fingerprint part : t.prompt_parts)
        h = combine_hash(h, part);
    return h;
}

bool is_same(const crash_traits& a, const crash_traits& b)
{
    return a.request == b.request &&
           a.request_and_prompt == b.request_and_prompt &&
           a.prompt_parts == b.prompt_parts;
}

fingerprint hash_of_run(std::string_view run)
{
    return stable_hash(run, run_seed);
}

void forget_requests(crash_record& r)
{
    r.requests.clear();
    r.evidence = hash_of_run(r.run);
}

bool is_crash(const crash_record& r)
{
    return r.ended_at && !r.requests.empty();
}

} // namespace

crash_record* crash_log::find_or_add(std::string_view run, time_point at)
{
    const auto it = records_.find(run);
    if (it != records_.end())
        return &it->second;
    if (records_.size() >= max_records)
        expire(at);
    if (records_.size() >= max_records)
        return nullptr;
    crash_record created{std::string(run)};
    forget_requests(created);
    return &records_.emplace(created.run, std::move(created)).first->second;
}

bool crash_log::on_connection_broken(const crash_traits& request,
                                     std::string_view run, time_point at)
{
    crash_record* const r = find_or_add(run, at);
    // Instances learn at different times that a run has ended, so each keeps
    // what another may keep. Whether it counts is decided elsewhere.
    if (r == nullptr || (r->ended_at && at - *r->ended_at > suspicion_ttl))
        return false;
    // Earlier connections broke for another reason.
    if (!r->ended_at && at - r->broken_at > run_end_window)
        forget_requests(*r);
    r->broken_at = std::max(r->broken_at, at);
    const bool known = std::ranges::any_of(
        r->requests, [&](const auto& k) { return is_same(k, request); });
    if (known || r->requests.size() >= max_requests)
        return false;
    r->requests.push_back(request);
    // Instances that keep different requests because there are too many would
    // send them to each other for good.
    r->evidence = r->requests.size() < max_requests
                      ? r->evidence ^ hash_of(request)
                      : combine_hash(hash_of_run(r->run), full_record);
    return true;
}

void crash_log::on_run_ended(std::string_view run, time_point at)
{
    crash_record* const r = find_or_add(run, at);
    if (r == nullptr || r->ended_at)
        return;
    r->ended_at = at;
    if (at - r->broken_at > run_end_window)
        forget_requests(*r);
}

std::vector<const crash_record*> crash_log::latest(time_point now) const
{
    std::vector<const crash_record*> out;
    for (const auto& [run, r] : records_)
        if (is_crash(r) && now - *r.ended_at <= suspicion_ttl)
            out.push_back(&r);
    std::ranges::sort(out, std::ranges::greater{},
                      [](const crash_record* r) { return *r->ended_at; });
    if (out.size() > max_exchanged)
        out.resize(max_exchanged);
    return out;
}

std::vector<fingerprint> crash_log::digest(time_point now) const
{
    std::vector<fingerprint> out;
    for (const crash_record* r : latest(now))
        out.push_back(r->evidence);
    return out;
}

std::vector<const crash_record*>
crash_log::missing_in(std::span<const fingerprint> digest, time_point now) const
{
    auto out = latest(now);
    std::erase_if(out, [&](const crash_record* r) {
        return std::ranges::find(digest, r->evidence) != digest.end();
    });
    return out;
}

bool crash_log::lacks_any(std::span<const fingerprint> digest,
                          time_point now) const
{
    const auto own = this->digest(now);
    return std::ranges::any_of(digest, [&](fingerprint f) {
        return std::ranges::find(own, f) == own.end();
    });
}

void crash_log::expire(time_point now)
{
    std::erase_if(records_, [&](const auto& item) {
        const crash_record& r = item.second;
        if (!r.ended_at)
            return now - r.broken_at > run_end_window;
        return now - *r.ended_at >
               (r.requests.empty() ? run_end_window : suspicion_ttl);
    });
}

} // namespace lovagegate::crashes
