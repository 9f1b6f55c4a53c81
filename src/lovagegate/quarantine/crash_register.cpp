#include "lovagegate/quarantine/crash_register.hpp"

#include <algorithm>

namespace lovagegate::quarantine {

crash_register::crash_register(quarantine_settings s, counters& c)
    : settings_(s), counters_(c)
{
}

bool crash_register::on_crash(const protocol::suspicion& crash, time_point now)
{
    if (!entries_.contains(crash.print))
        evict_if_full();
    entry& e = entries_[crash.print];
    // A quarantined fingerprint needs no further evidence.
    if (e.crashes.size() >= settings_.crash_threshold)
        return false;
    const bool known = std::any_of(
        e.crashes.begin(), e.crashes.end(), [&](const protocol::suspicion& s) {
            return s.target == crash.target &&
                   s.target_start == crash.target_start;
        });
    if (known)
        return false;
    e.crashes.push_back(crash);
    e.last_crash = now;
    counters_.add("crash_suspicions");
    if (e.crashes.size() == settings_.crash_threshold)
        counters_.add("fingerprints_quarantined");
    unsent_crashes_.push_back(crash);
    recent_crashes_.push_back(crash);
    if (recent_crashes_.size() > settings_.max_repair_crashes)
        recent_crashes_.pop_front();
    return true;
}

std::vector<protocol::suspicion>
crash_register::on_push(const protocol::sender& /*from*/,
                        const protocol::suspicion_push& push, time_point now)
{
    std::vector<protocol::suspicion> new_crashes;
    for (const protocol::suspicion& s : push.suspicions)
        if (on_crash(s, now))
            new_crashes.push_back(s);
    return new_crashes;
}

void crash_register::tick(time_point now, membership::view& view,
                          node::outbox& out)
{
    // Each instance forwards a crash that is new to it once.
    if (!unsent_crashes_.empty()) {
        for (const instance_id& i : view.random_peers(settings_.push_fanout))
            out.push_back(node::send_message{
                i, protocol::suspicion_push{unsent_crashes_}});
        unsent_crashes_.clear();
    }
    if (now < next_repair_)
        return;
    next_repair_ = now + settings_.repair_interval;
    erase_expired(now);
    if (recent_crashes_.empty())
        return;
    for (const instance_id& i : view.random_peers(1))
        out.push_back(node::send_message{
            i, protocol::suspicion_push{
                   {recent_crashes_.begin(), recent_crashes_.end()}}});
}

std::uint32_t crash_register::count(fingerprint print) const
{
    return std::uint32_t(evidence(print).size());
}

std::span<const protocol::suspicion>
crash_register::evidence(fingerprint print) const
{
    const auto it = entries_.find(print);
    if (it == entries_.end())
        return {};
    return it->second.crashes;
}

std::vector<fingerprint> crash_register::quarantined() const
{
    std::vector<fingerprint> result;
    for (const auto& [print, e] : entries_)
        if (e.crashes.size() >= settings_.crash_threshold)
            result.push_back(print);
    std::sort(result.begin(), result.end());
    return result;
}

void crash_register::erase_expired(time_point now)
{
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.last_crash > settings_.evidence_ttl;
    });
    std::erase_if(recent_crashes_, [&](const protocol::suspicion& s) {
        return !entries_.contains(s.print);
    });
}

void crash_register::evict_if_full()
{
    if (entries_.size() < settings_.max_fingerprints)
        return;
    // Evicts fingerprints with the fewest crashes first: a target that crashed
    // for another reason adds one crash to each request that was running.
    const auto oldest = std::min_element(
        entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
            return std::pair(a.second.crashes.size(), a.second.last_crash) <
                   std::pair(b.second.crashes.size(), b.second.last_crash);
        });
    counters_.add("crash_evidence_dropped");
    entries_.erase(oldest);
}

} // namespace lovagegate::quarantine
