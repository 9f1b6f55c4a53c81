#include "lovagegate/gateway/crash_suspects.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>

namespace lovagegate::gateway {

namespace {

/// Crashes after which a request is not sent again. A harmless request is at
/// two crashes in a row rarely, at three hardly ever.
constexpr std::size_t crash_limit = 3;
/// Repeats of a request come within minutes.
constexpr duration suspect_time = 120s;
constexpr std::size_t most_suspects = 10000;
constexpr std::uint64_t method_seed = 1;
constexpr std::uint64_t path_seed = 2;
constexpr std::uint64_t body_seed = 3;

} // namespace

fingerprint crash_suspects::of(std::string_view method, std::string_view path,
                               std::string_view body) noexcept
{
    return combine_hash(combine_hash(stable_hash(method, method_seed),
                                     stable_hash(path, path_seed)),
                        stable_hash(body, body_seed));
}

void crash_suspects::on_crash(fingerprint request, std::string_view engine,
                              time_point now)
{
    if (suspects_.size() >= most_suspects)
        expire(now);
    suspect& s = suspects_[request];
    if (now - s.last > suspect_time)
        s.engines.clear();
    s.last = now;
    if (std::ranges::find(s.engines, engine) == s.engines.end())
        s.engines.emplace_back(engine);
}

void crash_suspects::on_answer(fingerprint request)
{
    if (!suspects_.empty())
        suspects_.erase(request);
}

bool crash_suspects::is_blocked(fingerprint request, time_point now) const
{
    const auto it = suspects_.find(request);
    return it != suspects_.end() && it->second.engines.size() >= crash_limit &&
           now - it->second.last <= suspect_time;
}

void crash_suspects::expire(time_point now)
{
    std::erase_if(suspects_, [&](const auto& s) {
        return now - s.second.last > suspect_time;
    });
}

} // namespace lovagegate::gateway
