// Implements the sending of heartbeats of membership::view.
#include "lovagegate/membership/contact_ages.hpp"
#include "lovagegate/membership/view.hpp"

#include <algorithm>

namespace lovagegate::membership {

namespace {

/// After a pause, reported contacts are ignored for this time, because the
/// messages may have been queued in a socket.
constexpr duration backlog_drain_time = 1s;

} // namespace

void view::detect_pause(instant now)
{
    if (last_tick_ && now.mono - *last_tick_ > settings_.pause_threshold) {
        counters_.add("pauses");
        ignore_contact_ages_until_ = now.mono + backlog_drain_time;
        // This process received no messages during the pause, so missing
        // replies are no evidence against peers.
        for (auto& [id, p] : peers_)
            p.suspected_until = {};
    }
    last_tick_ = now.mono;
}

void view::tick(instant now, const protocol::ticket_digest& tickets,
                node::outbox& out)
{
    now_ = std::max(now_, now.mono);
    tickets_ = tickets;
    detect_pause(now);
    const bool due = now.mono >= next_heartbeat_;
    if (!due && !announce_phase_)
        return;
    update_all_usable();
    if (announce_phase_ && phase_ != protocol::phase::starting) {
        for (const instance_id& i : random_peers(settings_.announce_fanout))
            send_heartbeat(i, now, false, out);
    }
    announce_phase_ = false;
    if (!due)
        return;
    next_heartbeat_ = now.mono + settings_.heartbeat_interval;
    for (const instance_id& i : heartbeat_receivers()) {
        const peer* p = find(i);
        const bool reply =
            phase_ == protocol::phase::starting || (p != nullptr && !p->usable);
        send_heartbeat(i, now, reply, out);
    }
}

std::vector<instance_id> view::heartbeat_receivers()
{
    std::vector<instance_id> result;
    const std::size_t n = listed_.size();
    if (phase_ == protocol::phase::starting) {
        for (std::size_t k = 0; k < std::min(settings_.startup_fanout, n); ++k)
            if (const instance_id& i = listed_[next_startup_receiver_++ % n].id;
                i != self_)
                result.push_back(i);
        return result;
    }
    const auto self = std::lower_bound(
        listed_.begin(), listed_.end(), self_,
        [](const auto& l, const instance_id& i) { return l.id < i; });
    std::size_t at = std::size_t(self - listed_.begin());
    for (std::size_t k = 0; k < std::min(settings_.ring_fanout, n); ++k) {
        at = (at + 1) % n;
        if (listed_[at].id != self_)
            result.push_back(listed_[at].id);
    }
    // Suspected peers are included, so that their recovery is detected.
    for (std::size_t k = 0; n > 0 && k < settings_.random_fanout; ++k) {
        const instance_id& drawn = listed_[random_() % n].id;
        if (drawn != self_ &&
            std::find(result.begin(), result.end(), drawn) == result.end())
            result.push_back(drawn);
    }
    return result;
}

std::string view::sample_contact_ages(time_point t)
{
    std::vector<std::pair<duration, std::uint64_t>> ages;
    ages.reserve(listed_.size());
    for (const node::listed_instance& i : listed_) {
        const peer* p = find(i.id);
        if (p == nullptr || i.id == self_ || !p->last_contact ||
            t - *p->last_contact > settings_.contact_timeout)
            continue;
        ages.emplace_back(t - *p->last_contact, p->hash);
    }
    // The receiver most likely lacks the most recent contacts.
    const std::size_t n = std::min(settings_.max_contact_ages, ages.size());
    std::partial_sort(ages.begin(),
                      ages.begin() + static_cast<std::ptrdiff_t>(n),
                      ages.end());
    std::string result;
    for (std::size_t k = 0; k < n; ++k)
        append_contact_age(result,
                           {instance_key(ages[k].second), ages[k].first});
    return result;
}

void view::send_heartbeat(const instance_id& to, instant now, bool reply,
                          node::outbox& out)
{
    protocol::heartbeat h;
    h.state = phase_;
    h.tickets = tickets_;
    h.list_index = list_index_;
    h.list_confirmed = list_confirmed_wall_;
    h.heard = sample_contact_ages(now.mono);
    h.reply_wanted = reply;
    counters_.add("heartbeats_sent");
    out.push_back(node::send_message{to, std::move(h)});
}

std::vector<instance_id> view::random_peers(std::size_t n)
{
    std::vector<instance_id> result;
    for (const node::listed_instance& i : listed_) {
        const peer* p = find(i.id);
        if (i.id != self_ && p != nullptr && p->suspected_until <= now_)
            result.push_back(i.id);
    }
    n = std::min(n, result.size());
    for (std::size_t k = 0; k < n; ++k)
        std::swap(result[k], result[k + random_() % (result.size() - k)]);
    result.resize(n);
    return result;
}

} // namespace lovagegate::membership
