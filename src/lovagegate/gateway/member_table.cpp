#include "lovagegate/gateway/member_table.hpp"

#include <algorithm>

namespace lovagegate::gateway {

namespace {

/// Reduces a list to a random sample of at most max_count elements.
template <typename T>
void sample(std::vector<T>& list, std::size_t max_count,
            std::mt19937_64& random)
{
    std::ranges::shuffle(list, random);
    list.resize(std::min(list.size(), max_count));
}

} // namespace

member_table::member_table(std::string self, incarnation start,
                           std::vector<std::string> seeds,
                           std::uint64_t random_seed, member_settings settings)
    : seeds_(std::move(seeds)), settings_(settings), random_(random_seed)
{
    self_.address = std::move(self);
    self_.start = start;
}

duration member_table::silence_timeout() const
{
    return is_large() ? settings_.indirect_silence_timeout
                      : settings_.direct_silence_timeout;
}

void member_table::merge_record(const member_record& r, bool direct,
                                time_point now, heartbeat_result& out)
{
    if (r.address == self_.address || r.address.empty())
        return;
    const auto it = members_.find(r.address);
    if (it == members_.end()) {
        members_.emplace(r.address, member{r, now});
        out.joined = true;
        out.claims.insert(out.claims.end(), r.claims.begin(), r.claims.end());
        return;
    }
    member& known = it->second;
    const bool silent = now - known.last_heard > silence_timeout();
    const bool restarted = r.start != known.record.start &&
                           (direct || r.start > known.record.start || silent);
    const bool newer =
        r.start == known.record.start && r.beat > known.record.beat;
    if (!restarted && !newer)
        return;
    out.claims.insert(out.claims.end(), r.claims.begin(), r.claims.end());
    out.store_contact_changed = out.store_contact_changed ||
                                known.record.store_silent != r.store_silent;
    auto claims = std::move(known.record.claims);
    known.record = r;
    if (r.claims_omitted && !restarted)
        known.record.claims = std::move(claims);
    known.last_heard = now;
    out.joined = out.joined || silent || restarted;
}

member_table::heartbeat_result member_table::on_heartbeat(const heartbeat& h,
                                                          std::string_view from,
                                                          time_point now)
{
    heartbeat_result out;
    if (h.self.address != from)
        return out;
    merge_record(h.self, true, now, out);
    for (const auto& r : h.others)
        merge_record(r, false, now, out);
    return out;
}

bool member_table::is_alive(const member& m, time_point now) const
{
    return !m.record.leaving && now - m.last_heard <= silence_timeout();
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

bool member_table::all_members_known(time_point now) const
{
    if (is_large())
        return false;
    const std::uint64_t known = count(now);
    bool hears_seed = std::ranges::find(seeds_, self_.address) != seeds_.end();
    for (const auto& [address, m] : members_) {
        if (!is_alive(m, now))
            continue;
        if (m.record.members != known)
            return false;
        hears_seed =
            hears_seed || std::ranges::find(seeds_, address) != seeds_.end();
    }
    return hears_seed && known > 1;
}

std::vector<std::string> member_table::leaving() const
{
    std::vector<std::string> out;
    for (const auto& [address, m] : members_)
        if (m.record.leaving)
            out.push_back(address);
    return out;
}

std::size_t member_table::known(time_point now) const
{
    return static_cast<std::size_t>(
        1 + std::ranges::count_if(members_, [&](const auto& entry) {
            const member& m = entry.second;
            return !m.record.leaving &&
                   now - m.last_heard <= settings_.silent_member_ttl;
        }));
}

bool member_table::has_majority(time_point now) const
{
    return 2 * count(now) > known(now);
}

void member_table::add_records(outgoing& out, member_list from,
                               std::size_t max_count, bool claims_omitted)
{
    sample(from, max_count, random_);
    for (const member* m : from) {
        out.message.others.push_back(m->record);
        member_record& copied = out.message.others.back();
        if (!claims_omitted)
            continue;
        copied.claims_omitted = true;
        copied.claims.clear();
    }
}

void member_table::add_receivers(outgoing& out, member_list from,
                                 std::size_t max_count)
{
    sample(from, max_count, random_);
    for (const member* m : from)
        out.to.push_back(m->record.address);
}

std::vector<std::string> member_table::sample_silent_addresses(time_point now)
{
    std::vector<std::string> silent;
    for (const auto& [address, m] : members_)
        if (now - m.last_heard > silence_timeout())
            silent.push_back(address);
    for (const auto& seed : seeds_)
        if (seed != self_.address && !members_.contains(seed))
            silent.push_back(seed);
    constexpr std::size_t max_silent_receivers = 3;
    sample(silent, max_silent_receivers, random_);
    return silent;
}

member_table::outgoing member_table::to_small_fleet(member_list live)
{
    outgoing out{{self_, {}}, {}};
    if (self_.beat <= settings_.initial_heartbeats ||
        self_.beat % settings_.introduction_period == 0)
        add_records(out, live, settings_.max_records, true);
    add_receivers(out, std::move(live), settings_.max_small_fleet_peers);
    return out;
}

member_table::outgoing member_table::to_local_domain(const member_list& local,
                                                     member_list all)
{
    outgoing out{{self_, {}}, {}};
    add_records(out, std::move(all), settings_.max_records, false);
    add_receivers(out, local, settings_.local_fan_out);
    return out;
}

member_table::outgoing member_table::to_remote_domains(member_list local,
                                                       member_list remote)
{
    // Heartbeats to other failure domains mostly carry records of the own one.
    // Members relay records from other domains within their own.
    outgoing out{{self_, {}}, {}};
    const bool small_domain = local.size() < settings_.small_domain_size;
    add_records(out, std::move(local), settings_.max_records, false);
    add_records(out, remote, settings_.max_remote_records, true);
    add_receivers(out, std::move(remote),
                  small_domain ? settings_.small_domain_remote_fan_out
                               : settings_.remote_fan_out);
    return out;
}

std::vector<member_table::outgoing> member_table::next(time_point now)
{
    ++self_.beat;
    self_.members = count(now);
    std::erase_if(members_, [&](const auto& m) {
        return now - m.second.last_heard > settings_.silent_member_ttl &&
               std::ranges::find(seeds_, m.first) == seeds_.end();
    });
    member_list live;
    member_list local;
    member_list remote;
    for (const auto& [address, m] : members_) {
        if (now - m.last_heard > silence_timeout())
            continue;
        live.push_back(&m);
        (m.record.failure_domain == self_.failure_domain ? local : remote)
            .push_back(&m);
    }
    std::vector<outgoing> out;
    if (live.size() <= settings_.max_small_fleet_peers) {
        out.push_back(to_small_fleet(std::move(live)));
    } else {
        out.push_back(to_local_domain(local, std::move(live)));
        out.push_back(to_remote_domains(std::move(local), std::move(remote)));
    }
    // A silent member may have returned, or a partition may have healed.
    const auto silent = sample_silent_addresses(now);
    out.back().to.insert(out.back().to.end(), silent.begin(), silent.end());
    return out;
}

} // namespace lovagegate::gateway
