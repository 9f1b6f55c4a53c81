#include "lovagegate/gateway/member_table.hpp"

#include <algorithm>

namespace lovagegate::gateway {

member_table::member_table(std::string self, incarnation start,
                           std::vector<std::string> seeds,
                           std::uint64_t random_seed, member_settings settings)
    : seeds_(std::move(seeds)), settings_(settings), random_(random_seed)
{
    self_.address = std::move(self);
    self_.start = start;
}

duration member_table::silence() const
{
    return members_.size() <= settings_.fan_out ? settings_.direct_silence
                                                : settings_.indirect_silence;
}

bool member_table::take(const member_record& r, bool direct, time_point now)
{
    if (r.address == self_.address || r.address.empty())
        return false;
    const auto it = members_.find(r.address);
    if (it == members_.end()) {
        members_.emplace(r.address, member{r, now});
        return true;
    }
    member& known = it->second;
    const bool silent = now - known.heard > silence();
    const bool restarted = r.start != known.record.start &&
                           (direct || r.start > known.record.start || silent);
    const bool newer =
        r.start == known.record.start && r.beat > known.record.beat;
    if (!restarted && !newer)
        return false;
    known.record = r;
    known.heard = now;
    return silent || restarted;
}

bool member_table::on_heartbeat(const heartbeat& h, std::string_view from,
                                time_point now)
{
    if (h.self.address != from)
        return false;
    bool changed = take(h.self, true, now);
    for (const auto& r : h.others)
        changed = take(r, false, now) || changed;
    return changed;
}

bool member_table::is_alive(const member& m, time_point now) const
{
    return !m.record.leaving && now - m.heard <= silence();
}

std::vector<std::string> member_table::alive(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [address, m] : members_)
        if (is_alive(m, now))
            out.push_back(address);
    if (!self_.leaving)
        out.push_back(self_.address);
    std::ranges::sort(out);
    return out;
}

std::size_t member_table::count(time_point now) const
{
    return static_cast<std::size_t>(
        1 + std::ranges::count_if(members_, [&](const auto& m) {
            return is_alive(m.second, now);
        }));
}

bool member_table::has_majority(time_point now) const
{
    std::size_t heard = 1;
    std::size_t known = 1;
    for (const auto& [address, m] : members_) {
        if (m.record.leaving || now - m.heard > settings_.remember)
            continue;
        ++known;
        heard += is_alive(m, now) ? 1U : 0U;
    }
    return 2 * heard > known;
}

void member_table::add_records(outgoing& out, time_point now)
{
    // Also where all get this directly: those that no seed names are only
    // known from others.
    std::vector<const member*> live;
    for (const auto& [address, m] : members_)
        if (now - m.heard <= silence())
            live.push_back(&m);
    std::ranges::shuffle(live, random_);
    live.resize(std::min(live.size(), settings_.passed_on));
    for (const member* m : live)
        out.message.others.push_back(m->record);
}

member_table::outgoing member_table::next(time_point now)
{
    ++self_.beat;
    outgoing out;
    out.message.self = self_;
    std::erase_if(members_, [&](const auto& m) {
        return now - m.second.heard > settings_.remember &&
               std::ranges::find(seeds_, m.first) == seeds_.end();
    });
    std::vector<std::string> live;
    std::vector<std::string> silent;
    for (const auto& [address, m] : members_)
        (now - m.heard <= silence() ? live : silent).push_back(address);
    for (const auto& seed : seeds_)
        if (seed != self_.address && !members_.contains(seed))
            silent.push_back(seed);
    add_records(out, now);
    std::ranges::shuffle(live, random_);
    live.resize(std::min(live.size(), settings_.fan_out));
    // A silent one may be back, or a partition may have healed.
    std::ranges::shuffle(silent, random_);
    constexpr std::size_t tried_again = 3;
    silent.resize(std::min(silent.size(), tried_again));
    out.to = std::move(live);
    out.to.insert(out.to.end(), silent.begin(), silent.end());
    return out;
}

} // namespace lovagegate::gateway
