#include "lovagegate/gateway/adapter_users.hpp"

#include <algorithm>

namespace lovagegate::gateway {

namespace {

/// A use that isn't reported again for this long has ended: the message that
/// ended it was lost, or the instance is gone.
constexpr duration usage_ttl = usage_report_interval + 150ms;

} // namespace

bool adapter_users::on_usage(std::string_view instance,
                             std::span<const std::string> adapters,
                             time_point now)
{
    const std::string user(instance);
    auto& listed = listed_[user];
    bool released = false;
    for (const auto& name : listed) {
        if (std::ranges::find(adapters, name) != adapters.end())
            continue;
        released = true;
        const auto it = users_.find(name);
        if (it == users_.end())
            continue;
        it->second.erase(user);
        if (it->second.empty())
            users_.erase(it);
    }
    for (const auto& name : adapters)
        users_[name][user] = now;
    if (adapters.empty())
        listed_.erase(user);
    else
        listed.assign(adapters.begin(), adapters.end());
    return released;
}

bool adapter_users::is_used(std::string_view adapter, time_point now) const
{
    const auto it = users_.find(adapter);
    return it != users_.end() &&
           std::ranges::any_of(it->second, [&](const auto& user) {
               return now - user.second < usage_ttl;
           });
}

} // namespace lovagegate::gateway
