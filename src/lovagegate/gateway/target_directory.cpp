#include "lovagegate/gateway/target_directory.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Entries expire after three intervals of their targets' heartbeats, 3.6 s on
/// the platform; the rest covers the way of the deletion.
constexpr duration entry_expiry_time = 6s;
/// Between two messages that repeat a target's limit to the others, in case a
/// datagram was lost or an instance has started.
constexpr duration limit_news_interval = 2s;
/// Longer than any request to the target can take.
constexpr duration unlisted_target_ttl = 30s;
/// What a target said of itself must outlast an outage of the store, after
/// which its entry may return.
constexpr duration unlisted_leaving_target_ttl = 10min;

/// @return whether an entry that a restored store gave may be older than what
///         the target said before
bool is_outdated(const target_state& known, const target_entry& entry)
{
    const auto before = std::tie(known.entry.started_ms, known.entry.sequence);
    const auto after = std::tie(entry.started_ms, entry.sequence);
    // A removal in doubt wasn't the target's own act, so that the same entry
    // shows that the target lives.
    const bool may_be_same =
        !known.listed && known.removed_in_doubt && !known.entry.leaving;
    return may_be_same ? after < before : after <= before;
}

/// Carries over what a target told this instance before a new entry of the same
/// start.
void keep_notices(const target_state& from, target_state& to)
{
    to.paused_until = from.paused_until;
    to.limit = from.limit;
    if (!from.leaves_by_notice)
        return;
    to.leaves_by_notice = true;
    to.not_preferred_from =
        std::min(to.not_preferred_from, from.not_preferred_from);
    to.unusable_from = std::min(to.unusable_from, from.unusable_from);
}

} // namespace

target_use target_state::use(time_point now) const noexcept
{
    if (now >= unusable_from || (paused_until && now < *paused_until))
        return target_use::none;
    return now >= not_preferred_from ? target_use::last_resort
                                     : target_use::normal;
}

void target_directory::index(const std::string& service, const std::string& id)
{
    auto& ids = by_service_[service];
    const auto at = std::ranges::lower_bound(ids, id);
    if (at == ids.end() || *at != id)
        ids.insert(at, id);
}

void target_directory::unindex(const std::string& service,
                               const std::string& id)
{
    auto& ids = by_service_[service];
    const auto at = std::ranges::lower_bound(ids, id);
    if (at != ids.end() && *at == id)
        ids.erase(at);
}

bool target_directory::put(target_entry entry, time_point now,
                           std::uint64_t store_era)
{
    const duration usable = drain_rules_.use_after_news();
    const auto it = targets_.find(entry.id);
    if (it != targets_.end() &&
        std::exchange(it->second.store_era, store_era) < store_era &&
        is_outdated(it->second, entry)) {
        it->second.ignored = {std::move(entry), now};
        return false;
    }
    target_state next;
    next.store_era = store_era;
    if (entry.leaving) {
        const bool known = it != targets_.end() && it->second.entry.leaving &&
                           it->second.entry.started_ms == entry.started_ms;
        next.not_preferred_from = known ? it->second.not_preferred_from : now;
        next.unusable_from = known ? it->second.unusable_from : now + usable;
        if (entry.leaves_in)
            next.unusable_from = std::min(next.unusable_from, now);
    }
    if (it != targets_.end() && it->second.entry.started_ms == entry.started_ms)
        keep_notices(it->second, next);
    if (it != targets_.end() && it->second.entry.service != entry.service)
        unindex(it->second.entry.service, entry.id);
    next.entry = std::move(entry);
    index(next.entry.service, next.entry.id);
    const std::string id = next.entry.id;
    targets_.insert_or_assign(id, std::move(next));
    return true;
}

std::vector<target_entry>
target_directory::take_confirmed_entries(time_point now)
{
    std::vector<target_entry> out;
    for (auto& [id, t] : targets_) {
        if (!t.ignored || now - t.ignored->seen < entry_expiry_time)
            continue;
        const target_entry entry = std::move(t.ignored->entry);
        t.ignored.reset();
        const bool has_left =
            t.entry.leaving && entry.started_ms == t.entry.started_ms;
        if (!has_left)
            out.push_back(entry);
    }
    return out;
}

void target_directory::remove(std::string_view id, duration doubt_left,
                              time_point now, std::uint64_t store_era)
{
    const auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    target_state& t = it->second;
    t.ignored.reset();
    if (!t.listed)
        return;
    t.listed = false;
    t.removed_in_doubt = doubt_left > duration::zero();
    t.store_era = store_era;
    const auto terms = drain_rules_.on_removed({doubt_left, t.entry.leaving});
    t.not_preferred_from =
        std::min(t.not_preferred_from, now + terms.preferred_for);
    t.unusable_from = std::min(t.unusable_from, now + terms.usable_for);
}

target_state* target_directory::find_start(std::string_view id,
                                           std::int64_t started_ms)
{
    const auto it = targets_.find(id);
    return it == targets_.end() || it->second.entry.started_ms != started_ms
               ? nullptr
               : &it->second;
}

bool target_directory::on_leaving_notice(std::string_view id,
                                         std::int64_t started_ms,
                                         time_point now)
{
    target_state* const t = find_start(id, started_ms);
    if (t == nullptr || std::exchange(t->leaves_by_notice, true))
        return false;
    t->not_preferred_from = std::min(t->not_preferred_from, now);
    t->unusable_from =
        std::min(t->unusable_from, now + drain_rules_.use_after_notice());
    return true;
}

bool target_directory::on_pause(std::string_view id, std::int64_t started_ms,
                                time_point until, time_point now)
{
    target_state* const t = find_start(id, started_ms);
    if (t == nullptr || until <= now)
        return false;
    const bool paused = t->paused_until && now < *t->paused_until;
    t->paused_until = paused ? std::max(*t->paused_until, until) : until;
    return !paused;
}

bool target_directory::on_limit(std::string_view id, std::int64_t started_ms,
                                std::optional<double> per_second,
                                time_point said_at)
{
    target_state* const t = find_start(id, started_ms);
    if (t == nullptr || said_at < t->limit.said_at)
        return false;
    t->limit.said_at = said_at;
    return std::exchange(t->limit.per_second, per_second) != per_second;
}

bool target_directory::on_limit_told(std::string_view id,
                                     std::int64_t started_ms,
                                     std::optional<double> per_second,
                                     time_point said_at, time_point now)
{
    const bool changed = on_limit(id, started_ms, per_second, said_at);
    if (target_state* const t = find_start(id, started_ms);
        t != nullptr && t->limit.per_second == per_second)
        t->limit.told_at = now;
    return changed;
}

bool target_directory::take_limit_news(std::string_view id, bool changed,
                                       time_point now)
{
    const auto it = targets_.find(id);
    if (it == targets_.end())
        return false;
    target_limit& limit = it->second.limit;
    if (!changed &&
        (!limit.per_second || now - limit.told_at < limit_news_interval))
        return false;
    limit.told_at = now;
    return true;
}

std::optional<double> target_directory::total_limit(std::string_view service,
                                                    time_point now) const
{
    const auto targets = usable(service, now);
    if (targets.empty())
        return std::nullopt;
    double total = 0;
    for (const target_state* t : targets) {
        if (!t->limit.per_second)
            return std::nullopt;
        total += *t->limit.per_second;
    }
    return total;
}

std::size_t target_directory::limited(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(targets_, [&](const auto& item) {
            return item.second.limit.per_second &&
                   item.second.use(now) != target_use::none;
        }));
}

bool target_directory::take_ended_pause(std::string_view id, time_point now)
{
    const auto it = targets_.find(id);
    if (it == targets_.end() || !it->second.paused_until ||
        now < *it->second.paused_until)
        return false;
    it->second.paused_until.reset();
    return true;
}

std::optional<time_point>
target_directory::next_pause_end(std::string_view service, time_point now) const
{
    std::optional<time_point> first;
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end())
        return first;
    for (const auto& id : ids->second) {
        const target_state& t = targets_.find(id)->second;
        if (t.use(now) != target_use::none)
            return std::nullopt;
        if (!t.paused_until || now >= *t.paused_until ||
            t.use(*t.paused_until) == target_use::none)
            continue;
        first = first ? std::min(*first, *t.paused_until) : *t.paused_until;
    }
    return first;
}

void target_directory::expire(time_point now)
{
    for (auto it = targets_.begin(); it != targets_.end();) {
        const duration ttl = it->second.leaves_by_notice
                                 ? unlisted_leaving_target_ttl
                                 : unlisted_target_ttl;
        if (!it->second.listed && now > it->second.unusable_from + ttl) {
            unindex(it->second.entry.service, it->first);
            it = targets_.erase(it);
        } else {
            ++it;
        }
    }
}

const target_state* target_directory::find(std::string_view id) const
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second;
}

std::vector<const target_state*>
target_directory::usable(std::string_view service, time_point now) const
{
    std::vector<const target_state*> out;
    const auto ids = by_service_.find(service);
    if (ids == by_service_.end())
        return out;
    for (const auto& id : ids->second) {
        const auto& t = targets_.find(id)->second;
        if (t.use(now) != target_use::none)
            out.push_back(&t);
    }
    return out;
}

} // namespace lovagegate::gateway
