#include "lovagegate/ownership/fleet_contact.hpp"

#include "lovagegate/gateway/member_table.hpp"

#include <algorithm>

namespace lovagegate::ownership {

namespace {

bool hears_established(const gateway::member_table& members, time_point now)
{
    return std::ranges::any_of(members.all(), [&](const auto& entry) {
        return entry.second.record.established &&
               members.is_alive(entry.second, now);
    });
}

bool hears_seed(const gateway::member_table& members, time_point now)
{
    return std::ranges::any_of(members.seeds(), [&](const auto& seed) {
        const auto it = members.all().find(seed);
        return it != members.all().end() && members.is_alive(it->second, now);
    });
}

} // namespace

bool fleet_contact::may_establish(const gateway::member_table& members,
                                  time_point now) const
{
    if (members_before_cut_ > 0)
        return 2 * members.count(now) > members_before_cut_;
    const auto& seeds = members.seeds();
    const auto others = std::ranges::count_if(
        seeds, [&](const auto& s) { return s != members.self().address; });
    if (others == 0)
        return true;
    // The others try their seeds all the time, so they reach a seed that lives.
    const bool is_seed = static_cast<std::size_t>(others) < seeds.size();
    if (first_start_)
        return is_seed || hears_seed(members, now);
    return is_seed && members.count(now) > 1;
}

bool fleet_contact::update(gateway::member_table& members, time_point now)
{
    bool found_by_others = false;
    if (!members.has_majority(now)) {
        established_ = false;
        members_before_cut_ = std::max(members_before_cut_, members.known(now));
    } else if (!established_) {
        const bool heard = hears_established(members, now);
        established_ = heard || may_establish(members, now);
        found_by_others = heard && !was_established_;
    }
    if (established_) {
        members_before_cut_ = 0;
        was_established_ = true;
    }
    members.self().established = established_;
    return found_by_others;
}

} // namespace lovagegate::ownership
