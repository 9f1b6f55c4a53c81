#include "lovagegate/gateway/releases.hpp"

#include "lovagegate/gateway/adapter_planner.hpp"

#include <algorithm>
#include <iterator>

namespace lovagegate::gateway {

namespace {

/// Time for owners to replace the adapter. Afterwards requests require the new
/// version. The operators of the platform allow five seconds.
constexpr duration release_settle_time = 3s;

bool is_settled(time_point since, time_point now)
{
    return now - since >= release_settle_time;
}

} // namespace

bool release_table::adopt(const adapter_release& release, time_point now)
{
    auto& known = releases_[adapter_name(release.model, release.adapter)];
    if (release.version <= known.release.version)
        return false;
    if (known.release.version != 0)
        known.earlier.push_back({known.release.version, known.since});
    const auto newest_settled =
        std::find_if(known.earlier.rbegin(), known.earlier.rend(),
                     [&](const auto& e) { return is_settled(e.since, now); });
    if (newest_settled != known.earlier.rend())
        known.earlier.erase(known.earlier.begin(),
                            std::prev(newest_settled.base()));
    known.release = release;
    known.since = now;
    return true;
}

std::uint64_t release_table::newest(std::string_view name, bool settled,
                                    time_point now) const
{
    const auto it = releases_.find(name);
    if (it == releases_.end())
        return 0;
    const known_release& known = it->second;
    if (!settled || is_settled(known.since, now))
        return known.release.version;
    const auto earlier =
        std::find_if(known.earlier.rbegin(), known.earlier.rend(),
                     [&](const auto& e) { return is_settled(e.since, now); });
    return earlier == known.earlier.rend() ? 0 : earlier->version;
}

std::uint64_t release_table::required(std::string_view name, std::uint64_t held,
                                      time_point now) const
{
    const std::uint64_t settled = newest(name, true, now);
    return settled == 0 ? 0 : std::max(settled, held);
}

} // namespace lovagegate::gateway
