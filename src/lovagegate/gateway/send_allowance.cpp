#include "lovagegate/gateway/send_allowance.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace lovagegate::gateway {

namespace {

/// Long against the differences between clocks and the time in which instances
/// learn of each other's start and end; short against the span over which
/// targets judge their limits.
constexpr std::chrono::milliseconds slot_length{1000};
/// Part of a slot over which its requests become usable one after the other.
/// The rest leaves time to use the last one.
constexpr double spread_share = 0.5;
/// Slots that lie this far in the future belong to a clock that was wrong.
constexpr std::int64_t max_slots_ahead = 10;
/// A target with a lower limit still gets a request now and then: only its
/// answers show that the limit has ended.
constexpr double min_per_second = 0.1;
/// Keeps the arithmetic exact whatever targets and instances say.
constexpr double max_per_second = 1e6;
constexpr std::uint64_t allowance_seed = 0x6c696d;

std::int64_t slot_at(wall_time t)
{
    return t.time_since_epoch() / slot_length;
}

/// @return requests of all instances together in a slot; fractions add up over
///         the slots, from a different start for each target
std::size_t requests_in(std::int64_t slot, double per_second,
                        std::uint64_t target_hash)
{
    constexpr std::uint64_t phases = 1000;
    const double per_slot =
        std::clamp(per_second, min_per_second, max_per_second) *
        std::chrono::duration<double>(slot_length).count();
    const double phase = static_cast<double>(target_hash % phases) / phases;
    const double begin = static_cast<double>(slot) * per_slot + phase;
    return static_cast<std::size_t>(std::floor(begin + per_slot) -
                                    std::floor(begin));
}

} // namespace

bool send_allowance::is_dealt(std::string_view target, double per_second,
                              instant now) const
{
    const auto it = shares_.find(target);
    if (it == shares_.end())
        return false;
    const share& s = it->second;
    const std::int64_t slot = slot_at(now.wall);
    // After a clock was set back, the requests of the slots that come again
    // have been sent.
    if (slot < s.slot)
        return s.slot - slot <= max_slots_ahead;
    return slot == s.slot && per_second == s.per_second;
}

void send_allowance::deal(std::string_view target, double per_second,
                          std::span<const std::string> members, instant now)
{
    const std::int64_t slot = slot_at(now.wall);
    const auto target_hash = stable_hash(target, allowance_seed);
    const auto key =
        combine_hash(target_hash, static_cast<std::uint64_t>(slot));
    const auto weight = [&](std::string_view member) {
        return combine_hash(key, stable_hash(member, allowance_seed));
    };
    const auto own = weight(self_);
    share& s = shares_[std::string(target)];
    if (s.slot != slot)
        s.used = 0;
    s.slot = slot;
    s.per_second = per_second;
    s.all = requests_in(slot, per_second, target_hash);
    s.instances = std::max<std::size_t>(1, members.size());
    s.rank = static_cast<std::size_t>(std::ranges::count_if(
        members, [&](const std::string& m) { return weight(m) > own; }));
}

bool send_allowance::has_request(std::string_view target, instant now) const
{
    const auto it = shares_.find(target);
    if (now.mono < usable_from_ || it == shares_.end())
        return false;
    const share& s = it->second;
    // The requests of a slot go round the instances, in the slot's order.
    const std::size_t next = s.used * s.instances + s.rank;
    if (slot_at(now.wall) != s.slot || next >= s.all)
        return false;
    const auto begin = wall_time(s.slot * slot_length);
    const auto offset =
        slot_length *
        (spread_share * static_cast<double>(next) / static_cast<double>(s.all));
    return now.wall - begin >= offset;
}

void send_allowance::take(std::string_view target)
{
    if (const auto it = shares_.find(target); it != shares_.end())
        ++it->second.used;
}

void send_allowance::expire(instant now)
{
    const std::int64_t slot = slot_at(now.wall);
    std::erase_if(shares_, [&](const auto& item) {
        return std::abs(item.second.slot - slot) > max_slots_ahead;
    });
}

} // namespace lovagegate::gateway
