#include "lovagegate/gateway/crash_suspects.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/crashes/crash_times.hpp"

#include <algorithm>

namespace lovagegate::gateway {

using crashes::run_end_window;
using crashes::suspicion_ttl;

namespace {

/// Crashes after which a request is blocked. A harmless request is rarely
/// running at two crashes in a row, and hardly ever at three.
constexpr std::size_t crash_limit = 3;
constexpr std::size_t max_suspects = 10000;
constexpr std::uint64_t method_seed = 1;
constexpr std::uint64_t path_seed = 2;
constexpr std::uint64_t body_seed = 3;

} // namespace

std::string engine_run(std::string_view engine, std::int64_t started_ms)
{
    return std::string(engine) + '@' + std::to_string(started_ms);
}

fingerprint crash_suspects::fingerprint_of(std::string_view method,
                                           std::string_view path,
                                           std::string_view body) noexcept
{
    return combine_hash(combine_hash(stable_hash(method, method_seed),
                                     stable_hash(path, path_seed)),
                        stable_hash(body, body_seed));
}

void crash_suspects::on_connection_broken(fingerprint request,
                                          std::string_view run, time_point now)
{
    const auto ended = ended_runs_.find(run);
    if (ended != ended_runs_.end() && now - ended->second <= run_end_window) {
        on_crash(request, run, now);
        return;
    }
    if (!may_suspect(request, now))
        return;
    auto& breaks = suspects_[request].breaks;
    const auto known = std::ranges::find(breaks, run, &broken_connection::run);
    if (known != breaks.end())
        known->at = now;
    else
        breaks.push_back({std::string(run), now});
}

std::size_t crash_suspects::on_run_ended(std::string_view run, time_point now)
{
    ended_runs_.emplace(run, now);
    std::vector<fingerprint> crashing;
    for (auto& [request, s] : suspects_) {
        const auto known =
            std::ranges::find(s.breaks, run, &broken_connection::run);
        if (known == s.breaks.end())
            continue;
        if (now - known->at <= run_end_window)
            crashing.push_back(request);
        s.breaks.erase(known);
    }
    for (const fingerprint request : crashing)
        on_crash(request, run, now);
    return crashing.size();
}

void crash_suspects::on_crash(fingerprint request, std::string_view engine,
                              time_point now)
{
    if (!may_suspect(request, now))
        return;
    suspect& s = suspects_[request];
    if (now - s.last_crash > suspicion_ttl)
        s.engines.clear();
    s.last_crash = std::max(s.last_crash, now);
    if (std::ranges::find(s.engines, engine) == s.engines.end())
        s.engines.emplace_back(engine);
}

bool crash_suspects::may_suspect(fingerprint request, time_point at)
{
    const auto answer = answers_.find(request);
    if (answer != answers_.end() && answer->second > at)
        return false;
    if (suspects_.size() >= max_suspects)
        expire(at);
    return suspects_.size() < max_suspects || suspects_.contains(request);
}

void crash_suspects::on_answer(fingerprint request, time_point at)
{
    if (suspects_.contains(request))
        on_answer_told(request, at);
}

void crash_suspects::on_answer_told(fingerprint request, time_point at)
{
    if (answers_.size() < max_suspects || answers_.contains(request)) {
        time_point& latest = answers_.try_emplace(request, at).first->second;
        latest = std::max(latest, at);
    }
    const auto it = suspects_.find(request);
    if (it != suspects_.end() && it->second.last_crash <= at)
        suspects_.erase(it);
}

std::optional<time_point> crash_suspects::last_answer(fingerprint request) const
{
    const auto it = answers_.find(request);
    return it == answers_.end() ? std::nullopt : std::optional(it->second);
}

bool crash_suspects::is_blocked(fingerprint request, time_point now) const
{
    const auto it = suspects_.find(request);
    return it != suspects_.end() && it->second.engines.size() >= crash_limit &&
           now - it->second.last_crash <= suspicion_ttl;
}

std::vector<std::string>
crash_suspects::runs_ended_by_blocked(std::string_view run,
                                      time_point now) const
{
    std::vector<std::string> runs;
    for (const auto& [request, s] : suspects_)
        if (is_blocked(request, now) &&
            std::ranges::find(s.engines, run) != s.engines.end())
            runs.insert(runs.end(), s.engines.begin(), s.engines.end());
    return runs;
}

void crash_suspects::expire(time_point now)
{
    std::erase_if(ended_runs_, [&](const auto& ended) {
        return now - ended.second > run_end_window;
    });
    std::erase_if(answers_, [&](const auto& answer) {
        return now - answer.second > suspicion_ttl;
    });
    for (auto& [request, s] : suspects_)
        std::erase_if(s.breaks, [&](const broken_connection& b) {
            return now - b.at > run_end_window;
        });
    std::erase_if(suspects_, [&](const auto& item) {
        const suspect& s = item.second;
        return s.breaks.empty() && now - s.last_crash > suspicion_ttl;
    });
}

} // namespace lovagegate::gateway
