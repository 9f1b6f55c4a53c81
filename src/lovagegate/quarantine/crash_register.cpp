#include "lovagegate/quarantine/crash_register.hpp"

#include <algorithm>

namespace lovagegate::quarantine {

crash_register::crash_register(quarantine_settings s, counters& c)
    : settings_(s), counters_(c)
{
}

bool crash_register::on_crash(const protocol::suspicion& crash, time_point now)
{
    if (!prints_.contains(crash.print))
        make_room();
    entry& e = prints_[crash.print];
    // Further evidence on a quarantined print changes nothing.
    if (e.crashes.size() >= settings_.crashes)
        return false;
    const bool known = std::any_of(
        e.crashes.begin(), e.crashes.end(), [&](const protocol::suspicion& s) {
            return s.target == crash.target &&
                   s.target_start == crash.target_start;
        });
    if (known)
        return false;
    e.crashes.push_back(crash);
    e.last = now;
    counters_.add("crash_suspicions");
    if (e.crashes.size() == settings_.crashes)
        counters_.add("fingerprints_quarantined");
    unsent_.push_back(crash);
    recent_.push_back(crash);
    if (recent_.size() > settings_.repair_sample)
        recent_.pop_front();
    return true;
}

std::vector<protocol::suspicion>
crash_register::on_push(const protocol::sender& /*from*/,
                        const protocol::suspicion_push& push, time_point now)
{
    std::vector<protocol::suspicion> fresh;
    for (const protocol::suspicion& s : push.suspicions)
        if (on_crash(s, now))
            fresh.push_back(s);
    return fresh;
}

void crash_register::tick(time_point now, membership::view& view,
                          node::outbox& out)
{
    // Each instance that learns of a crash passes it on once.
    if (!unsent_.empty()) {
        for (const instance_id& i : view.random_peers(settings_.push_fanout))
            out.push_back(
                node::send_message{i, protocol::suspicion_push{unsent_}});
        unsent_.clear();
    }
    if (now < next_repair_)
        return;
    next_repair_ = now + settings_.repair_interval;
    forget(now);
    if (recent_.empty())
        return;
    for (const instance_id& i : view.random_peers(1))
        out.push_back(node::send_message{
            i, protocol::suspicion_push{{recent_.begin(), recent_.end()}}});
}

std::uint32_t crash_register::count(fingerprint print) const
{
    return std::uint32_t(evidence(print).size());
}

std::span<const protocol::suspicion>
crash_register::evidence(fingerprint print) const
{
    const auto it = prints_.find(print);
    if (it == prints_.end())
        return {};
    return it->second.crashes;
}

std::vector<fingerprint> crash_register::quarantined() const
{
    std::vector<fingerprint> result;
    for (const auto& [print, e] : prints_)
        if (e.crashes.size() >= settings_.crashes)
            result.push_back(print);
    std::sort(result.begin(), result.end());
    return result;
}

void crash_register::forget(time_point now)
{
    std::erase_if(prints_, [&](const auto& item) {
        return now - item.second.last > settings_.keep;
    });
    std::erase_if(recent_, [&](const protocol::suspicion& s) {
        return !prints_.contains(s.print);
    });
}

void crash_register::make_room()
{
    if (prints_.size() < settings_.max_prints)
        return;
    // Those with one crash go first: a target that broke for another reason
    // leaves one behind for each request that was running.
    const auto oldest = std::min_element(
        prints_.begin(), prints_.end(), [&](const auto& a, const auto& b) {
            return std::pair(a.second.crashes.size(), a.second.last) <
                   std::pair(b.second.crashes.size(), b.second.last);
        });
    counters_.add("crash_evidence_dropped");
    prints_.erase(oldest);
}

} // namespace lovagegate::quarantine
