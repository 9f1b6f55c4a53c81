#include "lovagegate/permits/permit_node.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagegate::permits {

permit_node::permit_node(std::string store, instance_id self,
                         const permit_settings& settings, counters& counts)
    : store_name_(std::move(store)), self_(std::move(self)),
      settings_(settings), counts_(counts)
{
}

void permit_node::set_store(const ticket::weight_store& store)
{
    store_ = store;
}

void permit_node::set_members(std::size_t listed, std::size_t reachable,
                              time_point now)
{
    refill(now);
    listed_ = std::max<std::size_t>(1, listed);
    reachable_ = std::clamp<std::size_t>(reachable, 1, listed_);
    tokens_ = std::min(tokens_, bucket_size());
}

void permit_node::set_role(bool is_permit_node, time_point since)
{
    if (is_permit_node && !active_) {
        tokens_ = 0.0;
        refilled_ = since + settings_.window;
        wants_.clear();
    }
    active_ = is_permit_node;
    since_ = since;
}

double permit_node::reachable_share() const
{
    return double(reachable_) / double(listed_);
}

/// Returns the size of the token bucket. A bucket of b tokens that refills at r
/// - b / w per second grants at most r w permits in any window w.
double permit_node::bucket_size() const
{
    const double in_window =
        store_.loads_per_second * to_seconds(settings_.window);
    const double burst =
        std::min(double(store_.at_full_speed), in_window / 4.0);
    return std::max(1.0, burst * reachable_share());
}

std::size_t permit_node::max_outstanding() const
{
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(double(store_.in_transit) *
                                    reachable_share()));
}

void permit_node::refill(time_point now)
{
    if (now <= refilled_)
        return;
    const double size = bucket_size();
    const double rate = store_.loads_per_second * reachable_share() -
                        size / to_seconds(settings_.window);
    tokens_ += std::max(0.0, rate) * to_seconds(now - refilled_);
    tokens_ = std::min(tokens_, size);
    refilled_ = now;
}

void permit_node::on_permit_request(const protocol::sender& from,
                                    const protocol::permit_request& request,
                                    time_point now, node::outbox& out)
{
    if (!active_)
        return;
    const want_key first{from.instance, from.start, request.pool, 0};
    std::map<local_id, time_point> seen;
    auto it = wants_.lower_bound(first);
    while (it != wants_.end() && it->first.from == from.instance &&
           it->first.start == from.start && it->first.pool == request.pool) {
        seen.emplace(it->first.id, it->second.first_seen);
        it = wants_.erase(it);
    }
    remove_lost(first, request.in_transit, now);
    for (const protocol::wanted_load& load : request.wants) {
        const want_key key{from.instance, from.start, request.pool, load.id};
        if (outstanding_.contains(key))
            continue;
        const auto known = seen.find(load.id);
        const time_point since = known == seen.end() ? now : known->second;
        wants_.emplace(key, pending_want{load, since, now});
    }
    grant_permits(now, out);
}

void permit_node::on_permit_return(const protocol::sender& from,
                                   const protocol::permit_return& returned,
                                   time_point now, node::outbox& out)
{
    for (const local_id id : returned.wants) {
        const auto erased =
            outstanding_.erase({from.instance, from.start, returned.pool, id});
        if (erased > 0 && returned.unused)
            tokens_ = std::min(bucket_size(), tokens_ + 1.0);
    }
    if (active_)
        grant_permits(now, out);
}

/// Removes permits that were lost. The owner reports how many loads it has in
/// transit: permits older than max_count_delay that exceed this number were
/// lost, or their return was.
void permit_node::remove_lost(const want_key& first, std::size_t in_transit,
                              time_point now)
{
    std::vector<std::pair<time_point, want_key>> countable;
    for (auto it = outstanding_.lower_bound(first);
         it != outstanding_.end() && it->first.from == first.from &&
         it->first.start == first.start && it->first.pool == first.pool;
         ++it) {
        if (now - it->second > settings_.max_count_delay)
            countable.emplace_back(it->second, it->first);
    }
    // The reported number may include newer permits, so only the excess over it
    // is removed.
    if (countable.size() <= in_transit)
        return;
    std::ranges::sort(countable);
    const std::size_t lost = countable.size() - in_transit;
    for (std::size_t i = 0; i < lost; ++i)
        outstanding_.erase(countable[i].second);
    counts_.add("permits_lost", lost);
}

void permit_node::remove_expired(time_point now)
{
    std::erase_if(wants_, [&](const auto& entry) {
        return now - entry.second.last_seen > settings_.want_ttl;
    });
    const auto lost = std::erase_if(outstanding_, [&](const auto& entry) {
        return now - entry.second > settings_.permit_ttl;
    });
    counts_.add("permits_not_returned", lost);
}

void permit_node::tick(time_point now, node::outbox& out)
{
    remove_expired(now);
    if (active_)
        grant_permits(now, out);
}

permit_node::want_map::const_iterator permit_node::next_want() const
{
    const bool oldest_first = settings_.oldest_first_every > 0 &&
                              granted_ % settings_.oldest_first_every ==
                                  settings_.oldest_first_every - 1;
    return std::ranges::max_element(wants_, [&](const auto& a, const auto& b) {
        const pending_want& x = a.second;
        const pending_want& y = b.second;
        const bool x_waits = x.load.waiting > 0;
        const bool y_waits = y.load.waiting > 0;
        if (x_waits != y_waits)
            return y_waits;
        if (oldest_first && x.first_seen != y.first_seen)
            return x.first_seen > y.first_seen;
        return x.load.value < y.load.value;
    });
}

void permit_node::grant_permits(time_point now, node::outbox& out)
{
    refill(now);
    std::map<std::pair<instance_id, pool_id>, protocol::permit_grant> grants;
    while (!wants_.empty() && outstanding_.size() < max_outstanding()) {
        const auto it = next_want();
        const bool prefetch = it->second.load.waiting == 0;
        const double needed =
            prefetch
                ? std::max(1.0, bucket_size() * settings_.prefetch_fill_share)
                : 1.0;
        if (tokens_ < needed)
            break;
        tokens_ -= 1.0;
        ++granted_;
        protocol::permit_grant& grant =
            grants[{it->first.from, it->first.pool}];
        grant.store = store_name_;
        grant.pool = it->first.pool;
        grant.valid_for = settings_.valid_for;
        grant.wants.push_back(it->first.id);
        outstanding_.emplace(it->first, now);
        wants_.erase(it);
    }
    for (auto& [to, grant] : grants) {
        counts_.add("load_permits", grant.wants.size());
        out.push_back(node::send_message{to.first, std::move(grant)});
    }
}

} // namespace lovagegate::permits
