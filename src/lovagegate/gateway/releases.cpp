#include "lovagegate/gateway/releases.hpp"

#include "lovagegate/gateway/adapter_planner.hpp"

namespace lovagegate::gateway {

namespace {

/// Time for owners to replace the adapter. Afterwards requests require the new
/// version. The operators of the platform allow five seconds.
constexpr duration release_settle_time = 3s;

} // namespace

bool release_table::adopt(const adapter_release& release, time_point now)
{
    auto& known = releases_[adapter_name(release.model, release.adapter)];
    if (release.version <= known.release.version)
        return false;
    known = {release, now};
    return true;
}

std::uint64_t release_table::newest(std::string_view name, bool settled,
                                    time_point now) const
{
    const auto it = releases_.find(name);
    if (it == releases_.end() ||
        (settled && now - it->second.since < release_settle_time))
        return 0;
    return it->second.release.version;
}

} // namespace lovagegate::gateway
