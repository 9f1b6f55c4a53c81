#include "lovagegate/propagation/ticket_gossip.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>

namespace lovagegate::propagation {

namespace {

bool equal(const protocol::ticket_digest& a, const protocol::ticket_digest& b)
{
    return a.highest == b.highest && a.digest == b.digest;
}

} // namespace

ticket_gossip::ticket_gossip(gossip_settings s, counters& c, std::uint64_t seed)
    : settings_(s), counters_(c), random_(seed), pull_interval_(s.pull_interval)
{
}

void ticket_gossip::on_published(const std::vector<std::string>& tickets,
                                 ticket::ticket_book& book, instant now)
{
    service_heard_ = true;
    service_answers_ = true;
    counters_.add("ticket_service_reads");
    for (const std::string& raw : tickets)
        on_new_ticket(raw, book, now);
}

void ticket_gossip::on_service_unavailable(instant now)
{
    next_read_ = now.mono + settings_.retry;
    service_answers_ = false;
    counters_.add("ticket_service_unavailable");
}

ticket::apply_outcome ticket_gossip::on_new_ticket(const std::string& raw,
                                                   ticket::ticket_book& book,
                                                   instant now)
{
    ticket::apply_outcome outcome = book.apply(raw, now.mono);
    if (outcome.result == ticket::apply_result::accepted)
        queue_push(raw);
    return outcome;
}

void ticket_gossip::queue_push(const std::string& raw)
{
    std::size_t queued = raw.size();
    for (const std::string& t : to_push_)
        queued += t.size();
    // What does not fit is announced: peers pull what they lack.
    if (queued <= settings_.push_bytes)
        to_push_.push_back(raw);
    else
        to_announce_ = true;
}

void ticket_gossip::on_push(const protocol::sender& from,
                            const protocol::ticket_push& push,
                            ticket::ticket_book& book, instant now)
{
    for (const std::string& raw : push.tickets) {
        const auto outcome = on_new_ticket(raw, book, now);
        if (outcome.result == ticket::apply_result::refused)
            counters_.add("pushed_tickets_refused", "peer",
                          from.instance.str());
        if (outcome.result != ticket::apply_result::accepted)
            continue;
        recent_pull_digest_.reset();
        pull_interval_ = settings_.pull_interval;
        next_pull_ = std::min(next_pull_, now.mono + pull_interval_);
    }
}

void ticket_gossip::on_digest(const protocol::sender& from,
                              const protocol::ticket_digest& digest,
                              std::optional<protocol::phase> state,
                              const ticket::ticket_book& book, instant now,
                              node::outbox& out)
{
    const auto skew = 1s; // a stamp further ahead is no evidence
    if (digest.confirmed <= now.wall + skew)
        peers_confirmed_ = std::max(peers_confirmed_, digest.confirmed);
    peer_digest& p = digests_[from.instance];
    p.digest = digest;
    if (state)
        p.ready = *state != protocol::phase::starting;
    const protocol::ticket_digest own = book.digest();
    // The one that is behind pulls, as far as the highest number tells. A
    // starting instance may lack what peers with a lower highest number hold.
    if (equal(own, digest) || (settled_ && digest.highest < own.highest))
        return;
    pull_from(from.instance, book, now.mono, out);
}

void ticket_gossip::pull_from(const instance_id& peer,
                              const ticket::ticket_book& book, time_point now,
                              node::outbox& out)
{
    if (now < next_pull_)
        return;
    next_pull_ = now + pull_interval_;
    const std::uint64_t digest = book.digest().digest;
    const bool whole = recent_pull_digest_ == digest;
    recent_pull_digest_ = digest;
    if (whole) // a release that refuses a ticket differs for good
        pull_interval_ =
            std::min(pull_interval_ * 2, settings_.longest_pull_interval);
    const ticket_number from = whole ? 0 : book.recent_from(settings_.recent);
    counters_.add("ticket_pulls", "extent", whole ? "whole" : "recent");
    out.push_back(
        node::send_message{peer, protocol::ticket_pull{book.held(from), from}});
}

void ticket_gossip::on_pull(const protocol::sender& from,
                            const protocol::ticket_pull& pull,
                            const ticket::ticket_book& book, node::outbox& out)
{
    std::vector<std::string> tickets =
        book.lacking(pull, settings_.answer_bytes);
    if (tickets.empty())
        return;
    out.push_back(node::send_message{
        from.instance, protocol::ticket_push{std::move(tickets)}});
}

void ticket_gossip::tick(instant now, membership::view& view,
                         const ticket::ticket_book& book, node::outbox& out)
{
    choose_role(view);
    settled_ = settled_ || knows_enough(view, book);
    if (!last_read_) // spread the first reads of instances started together
        last_read_ =
            now.mono -
            duration(random_() % std::uint64_t(poll_interval_.count() + 1));
    if (to_push_.empty() && !to_announce_)
        return;
    for (const instance_id& i : view.random_peers(settings_.push_fanout)) {
        if (!to_push_.empty())
            out.push_back(
                node::send_message{i, protocol::ticket_push{to_push_}});
        if (to_announce_)
            out.push_back(node::send_message{i, digest(book, now)});
    }
    to_push_.clear();
    to_announce_ = false;
}

protocol::ticket_digest ticket_gossip::digest(const ticket::ticket_book& book,
                                              instant now) const
{
    protocol::ticket_digest result = book.digest();
    result.confirmed = confirmed(now);
    return result;
}

wall_time ticket_gossip::confirmed(instant now) const
{
    // An open watch that has not failed counts as an answer.
    return reader_ && service_answers_ ? now.wall : peers_confirmed_;
}

void ticket_gossip::choose_role(const membership::view& view)
{
    if (view.revision() == role_revision_)
        return;
    role_revision_ = view.revision();
    std::erase_if(digests_, [&](const auto& entry) {
        return !view.is_listed(entry.first);
    });
    const auto chosen = view.next_usable("tickets/readers", settings_.readers);
    reader_ =
        chosen.size() < settings_.readers ||
        std::find(chosen.begin(), chosen.end(), view.self()) != chosen.end();
    const double others =
        std::max(0.0, double(view.listed().size()) - double(settings_.readers));
    const auto spread = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(others / settings_.poll_rate));
    poll_interval_ = std::max(settings_.poll_least, spread);
}

bool ticket_gossip::may_read(instant now) const
{
    if (now.mono < next_read_)
        return false;
    if (reader_)
        return true;
    if (service_heard_ && now.wall - confirmed(now) <= settings_.service_silent)
        return false;
    return !last_read_ || now.mono - *last_read_ >= poll_interval_;
}

void ticket_gossip::on_read_started(instant now)
{
    last_read_ = now.mono;
    next_read_ = now.mono + settings_.read_interval;
}

duration ticket_gossip::watch_wait() const
{
    return reader_ && service_heard_ ? settings_.watch_wait : duration(0);
}

bool ticket_gossip::knows_enough(const membership::view& view,
                                 const ticket::ticket_book& book) const
{
    if (view.listed().empty())
        return false;
    std::size_t others = 0;
    std::size_t silent = 0; // may be ready, and know more
    std::size_t heard = 0;
    std::size_t ready = 0;
    std::size_t agreeing = 0;
    for (const node::listed_instance& i : view.listed()) {
        if (i.id == view.self())
            continue;
        ++others;
        const auto p = digests_.find(i.id);
        if (p == digests_.end()) {
            silent += view.usable(i.id) ? 1 : 0;
            continue;
        }
        ++heard;
        if (!p->second.ready)
            continue;
        ++ready;
        agreeing += equal(p->second.digest, book.digest()) ? 1 : 0;
    }
    if (others > 0 && agreeing >= std::min(settings_.agreeing_peers, others))
        return true;
    // Few or none are ready: the others must have been heard, and where the
    // whole fleet starts, the service is all there is to go by.
    return silent == 0 && 2 * heard >= others && agreeing == ready &&
           (ready > 0 || service_heard_);
}

} // namespace lovagegate::propagation
