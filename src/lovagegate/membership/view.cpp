#include "lovagegate/membership/view.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/membership/contact_ages.hpp"

#include <algorithm>

namespace lovagegate::membership {

namespace {

/// After this time, a list index that stays lower is assumed to come from a
/// restarted platform.
constexpr duration lower_index_timeout = 30s;

} // namespace

view::view(instance_id self, membership_settings s, counters& c,
           std::uint64_t seed, time_point started)
    : self_(std::move(self)), settings_(s), counters_(c), random_(seed),
      started_(started), now_(started)
{
    next_startup_receiver_ = random_();
}

view::peer* view::find(const instance_id& i)
{
    const auto it = peers_.find(i);
    return it == peers_.end() ? nullptr : &it->second;
}

const view::peer* view::find(const instance_id& i) const
{
    const auto it = peers_.find(i);
    return it == peers_.end() ? nullptr : &it->second;
}

bool view::accepts_index(const node::instance_list& list, time_point now)
{
    if (list.index >= list_index_) {
        lower_index_since_.reset();
        return true;
    }
    counters_.add("instance_list_index_lower");
    if (!lower_index_since_)
        lower_index_since_ = now;
    return now - *lower_index_since_ >= lower_index_timeout;
}

void view::on_list(const node::instance_list& list, instant now)
{
    now_ = std::max(now_, now.mono);
    const instant asked = list.asked.mono != time_point{}
                              ? list.asked
                              : earliest_request_time(now);
    if (asked.mono < last_list_request_ || !accepts_index(list, now.mono))
        return;
    const bool gap = list_index_ != 0 &&
                     (asked.mono - list_confirmed_at_ > settings_.list_fresh ||
                      list.index < list_index_);
    last_list_request_ = asked.mono;
    list_confirmed_at_ = list.index == list_index_
                             ? std::max(list_confirmed_at_, asked.mono)
                             : asked.mono;
    list_confirmed_wall_ = list.index == list_index_
                               ? std::max(list_confirmed_wall_, asked.wall)
                               : asked.wall;
    list_index_ = list.index;
    counters_.add("instance_list_reads");
    replace_list(list, now, gap);
}

instant view::earliest_request_time(instant now) const
{
    if (!last_tick_ || now.mono - *last_tick_ <= settings_.pause_threshold)
        return now;
    // The answer may have been queued in a socket during the pause.
    const duration paused = now.mono - *last_tick_;
    return {*last_tick_,
            now.wall -
                std::chrono::duration_cast<std::chrono::milliseconds>(paused)};
}

void view::replace_list(const node::instance_list& list, instant now, bool gap)
{
    if (!history_.add(list.instances, now.mono, gap))
        return;
    history_.forget_before(now.mono - settings_.list_history_duration);
    listed_ = list.instances;
    std::sort(listed_.begin(), listed_.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    std::unordered_map<instance_id, peer> next;
    for (const node::listed_instance& i : listed_) {
        const peer* old = find(i.id);
        peer p = old != nullptr ? *old : peer{};
        p.hash = stable_hash(i.id.str());
        p.listed_leaving = i.leaving;
        next.emplace(i.id, p);
    }
    peers_ = std::move(next);
    peers_by_key_.clear();
    for (auto& [id, p] : peers_)
        peers_by_key_[instance_key(p.hash)] = &p;
    ++revision_;
    counters_.add("instance_list_changes");
    update_all_usable();
}

void view::on_list_unavailable(instant now)
{
    now_ = std::max(now_, now.mono);
    counters_.add("instance_list_unavailable");
}

bool view::on_message_from(const protocol::sender& from, instant now)
{
    now_ = std::max(now_, now.mono);
    peer* p = find(from.instance);
    if (p == nullptr)
        return false;
    const bool restarted = p->start != 0 && from.start > p->start;
    if (from.start < p->start)
        return false;
    p->start = from.start;
    if (restarted) {
        p->phase.reset();
        counters_.add("peer_restarts");
    }
    p->last_contact = now.mono;
    p->last_direct_contact = now.mono;
    p->suspected_until = {};
    update_usable(from.instance, *p);
    return restarted;
}

void view::on_heartbeat(const protocol::sender& from,
                        const protocol::heartbeat& h, instant now,
                        node::outbox& out)
{
    on_message_from(from, now);
    merge_contact_ages(h.heard, now);
    peer* p = find(from.instance);
    if (p != nullptr && p->start == from.start) {
        p->phase = h.state;
        p->list_index = h.list_index;
        merge_list_confirmation(h, now);
        update_usable(from.instance, *p);
    }
    // Unlisted senders also get a reply: their list may be newer.
    if (h.reply_wanted)
        send_heartbeat(from.instance, now, false, out);
}

void view::merge_contact_ages(std::string_view heard, instant now)
{
    if (now.mono < ignore_contact_ages_until_)
        return;
    for (const contact_age& h : parse_contact_ages(heard)) {
        const auto it = peers_by_key_.find(h.instance);
        if (it == peers_by_key_.end() || h.age > settings_.contact_timeout)
            continue;
        const time_point at = now.mono - h.age;
        peer& p = *it->second;
        if (!p.last_contact || *p.last_contact < at)
            p.last_contact = at;
    }
}

void view::merge_list_confirmation(const protocol::heartbeat& h, instant now)
{
    if (h.list_index != list_index_ || list_index_ == 0)
        return;
    // A time in the future means that a clock exceeds the maximum skew.
    if (h.list_confirmed >
        now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(
                       settings_.clock_skew))
        return;
    list_confirmed_wall_ = std::max(list_confirmed_wall_, h.list_confirmed);
    const duration age =
        std::max(duration(0), duration(now.wall - list_confirmed_wall_));
    list_confirmed_at_ =
        std::max(list_confirmed_at_, now.mono - age - settings_.clock_skew);
}

void view::mark_suspected(const instance_id& i, instant now)
{
    now_ = std::max(now_, now.mono);
    peer* p = find(i);
    if (p == nullptr)
        return;
    p->suspected_until = now.mono + settings_.suspicion_duration;
    update_usable(i, *p);
}

void view::on_connection_failed(const instance_id& i, instant now)
{
    counters_.add("peers_lost");
    mark_suspected(i, now);
}

void view::on_request_timeout(const instance_id& i, instant now)
{
    counters_.add("peers_unanswered");
    mark_suspected(i, now);
}

bool view::compute_usable(const instance_id& i, const peer& p) const
{
    if (i == self_)
        return phase_ != protocol::phase::leaving && !p.listed_leaving;
    if (p.listed_leaving || p.suspected_until > now_)
        return false;
    if (p.phase == protocol::phase::leaving)
        return false;
    // An old starting phase is ignored: an instance that becomes ready
    // announces it to only some of its peers.
    if (p.phase == protocol::phase::starting && p.last_direct_contact &&
        now_ - *p.last_direct_contact <= settings_.contact_timeout)
        return false;
    // Without any contact, the list is the only evidence.
    return !p.last_contact ||
           now_ - *p.last_contact <= settings_.contact_timeout;
}

void view::update_usable(const instance_id& i, peer& p)
{
    const bool usable = compute_usable(i, p);
    if (usable == p.usable)
        return;
    p.usable = usable;
    ++revision_;
    counters_.add("usability_changes");
}

void view::update_all_usable()
{
    for (auto& [id, p] : peers_)
        update_usable(id, p);
}

void view::set_phase(protocol::phase p)
{
    if (phase_ == p)
        return;
    phase_ = p;
    announce_phase_ = true;
    ++revision_;
    update_all_usable();
}

bool view::is_listed(const instance_id& i) const
{
    return find(i) != nullptr;
}

bool view::is_leaving(const instance_id& i) const
{
    if (i == self_ && phase_ == protocol::phase::leaving)
        return true;
    const peer* p = find(i);
    return p != nullptr &&
           (p->listed_leaving || p->phase == protocol::phase::leaving);
}

bool view::usable(const instance_id& i) const
{
    const peer* p = find(i);
    return p != nullptr && p->usable;
}

std::vector<instance_id> view::ranked_usable(std::string_view key,
                                             std::size_t n) const
{
    const std::uint64_t hash = stable_hash(key);
    std::vector<std::pair<std::uint64_t, const instance_id*>> ranked;
    for (const auto& [id, p] : peers_)
        if (p.usable)
            ranked.emplace_back(rendezvous_weight(hash, p.hash), &id);
    n = std::min(n, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + std::ptrdiff_t(n),
                      ranked.end(), std::greater<>());
    std::vector<instance_id> result;
    for (std::size_t i = 0; i < n; ++i)
        result.push_back(*ranked[i].second);
    return result;
}

std::optional<instance_id> view::owner_of(std::string_view key) const
{
    std::vector<instance_id> best = ranked_usable(key, 1);
    return best.empty() ? std::nullopt : std::optional(std::move(best.front()));
}

std::optional<instance_id> view::first_listed(std::string_view key) const
{
    return history_.first(key);
}

std::optional<tenure> view::own_tenure(std::string_view key) const
{
    return history_.tenure_of(key, self_);
}

std::optional<time_point> view::first_listed_since(std::string_view key) const
{
    const auto t = own_tenure(key);
    return t ? std::optional(t->since) : std::nullopt;
}

double view::reachable_share() const
{
    if (peers_.empty())
        return 1.0;
    std::size_t heard = 0;
    for (const auto& [id, p] : peers_)
        if (id == self_ || (p.last_contact && now_ - *p.last_contact <=
                                                  settings_.contact_timeout))
            ++heard;
    return double(heard) / double(peers_.size());
}

bool view::list_superseded(time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const peer& p = entry.second;
        return p.list_index > list_index_ && p.last_direct_contact &&
               now - *p.last_direct_contact <= settings_.list_fresh;
    });
}

bool view::list_is_fresh(time_point now) const
{
    return list_index_ != 0 &&
           now - list_confirmed_at_ <= settings_.list_fresh &&
           !list_superseded(now);
}

std::optional<protocol::phase> view::phase_of(const instance_id& i) const
{
    const peer* p = find(i);
    return p != nullptr ? p->phase : std::nullopt;
}

std::optional<incarnation> view::incarnation_of(const instance_id& i) const
{
    const peer* p = find(i);
    return p != nullptr && p->start != 0 ? std::optional(p->start)
                                         : std::nullopt;
}

} // namespace lovagegate::membership
