#include "lovagegate/quota/fleet_size.hpp"

#include <algorithm>

namespace lovagegate::quota {

void fleet_size::update(std::span<const std::string> alive,
                        std::span<const std::string> leaving, time_point now)
{
    constexpr std::int64_t kept_seconds = 60;
    const std::int64_t number =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count();
    for (const std::string& address : leaving)
        if (std::ranges::find(alive_, address) != alive_.end())
            for (second& s : last_minute_)
                s.instances -= s.instances > 1 ? 1 : 0;
    alive_.assign(alive.begin(), alive.end());
    if (last_minute_.empty() || last_minute_.back().number < number)
        last_minute_.push_back({number, 0});
    second& last = last_minute_.back();
    last.instances = std::max(last.instances, alive.size());
    while (last_minute_.front().number < number - kept_seconds)
        last_minute_.pop_front();
    knows_others_ = knows_others_ || alive.size() > 1;
}

std::size_t fleet_size::largest() const
{
    std::size_t n = knows_others_ ? 1 : seeds_ + 1;
    for (const second& s : last_minute_)
        n = std::max(n, s.instances);
    return n;
}

} // namespace lovagegate::quota
