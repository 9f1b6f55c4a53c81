#include "lovagegate/propagation/ticket_gossip.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>

namespace lovagegate::propagation {

namespace {

bool equal_digests(const protocol::ticket_digest& a,
                   const protocol::ticket_digest& b)
{
    return a.highest == b.highest && a.digest == b.digest;
}

} // namespace

ticket_gossip::ticket_gossip(gossip_settings s, counters& c, std::uint64_t seed)
    : settings_(s), counters_(c), random_(seed),
      pull_interval_(s.min_pull_interval)
{
}

void ticket_gossip::on_published(const std::vector<std::string>& tickets,
                                 ticket::ticket_book& book, instant now)
{
    service_answered_once_ = true;
    last_read_succeeded_ = true;
    counters_.add("ticket_service_reads");
    for (const std::string& raw : tickets)
        apply_and_queue(raw, book, now);
}

void ticket_gossip::on_service_unavailable(instant now)
{
    next_read_ = now.mono + settings_.read_retry_interval;
    last_read_succeeded_ = false;
    counters_.add("ticket_service_unavailable");
}

ticket::apply_outcome ticket_gossip::apply_and_queue(const std::string& raw,
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
    for (const std::string& t : push_queue_)
        queued += t.size();
    // Tickets over the limit are announced by digest; peers pull them.
    if (queued <= settings_.max_push_bytes)
        push_queue_.push_back(raw);
    else
        announce_digest_ = true;
}

void ticket_gossip::on_push(const protocol::sender& from,
                            const protocol::ticket_push& push,
                            ticket::ticket_book& book, instant now)
{
    for (const std::string& raw : push.tickets) {
        const auto outcome = apply_and_queue(raw, book, now);
        if (outcome.result == ticket::apply_result::refused)
            counters_.add("pushed_tickets_refused", "peer",
                          from.instance.str());
        if (outcome.result != ticket::apply_result::accepted)
            continue;
        digest_at_recent_pull_.reset();
        pull_interval_ = settings_.min_pull_interval;
        next_pull_ = std::min(next_pull_, now.mono + pull_interval_);
    }
}

void ticket_gossip::on_digest(const protocol::sender& from,
                              const protocol::ticket_digest& digest,
                              std::optional<protocol::phase> state,
                              const ticket::ticket_book& book, instant now,
                              node::outbox& out)
{
    const auto skew = 1s; // a time further ahead is ignored
    if (digest.confirmed <= now.wall + skew)
        latest_peer_confirmation_ =
            std::max(latest_peer_confirmation_, digest.confirmed);
    peer_digest& p = digests_[from.instance];
    p.digest = digest;
    if (state)
        p.ready = *state != protocol::phase::starting;
    const protocol::ticket_digest own = book.digest();
    // The instance with the lower highest number pulls. A starting instance
    // pulls anyway, since it may lack tickets of peers with a lower one.
    if (equal_digests(own, digest) ||
        (was_current_ && digest.highest < own.highest))
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
    const bool whole = digest_at_recent_pull_ == digest;
    digest_at_recent_pull_ = digest;
    if (whole) // a peer whose release refuses a ticket differs permanently
        pull_interval_ =
            std::min(pull_interval_ * 2, settings_.max_pull_interval);
    const ticket_number from =
        whole ? 0 : book.lowest_recent_number(settings_.recent_pull_tickets);
    counters_.add("ticket_pulls", "extent", whole ? "whole" : "recent");
    out.push_back(node::send_message{
        peer, protocol::ticket_pull{book.held_hashes(from), from}});
}

void ticket_gossip::on_pull(const protocol::sender& from,
                            const protocol::ticket_pull& pull,
                            const ticket::ticket_book& book, node::outbox& out)
{
    std::vector<std::string> tickets =
        book.missing_tickets(pull, settings_.max_pull_answer_bytes);
    if (tickets.empty())
        return;
    out.push_back(node::send_message{
        from.instance, protocol::ticket_push{std::move(tickets)}});
}

void ticket_gossip::tick(instant now, membership::view& view,
                         const ticket::ticket_book& book, node::outbox& out)
{
    update_role(view);
    was_current_ = was_current_ || has_current_tickets(view, book);
    if (!last_read_) // spreads the first reads of instances started together
        last_read_ =
            now.mono -
            duration(random_() % std::uint64_t(poll_interval_.count() + 1));
    if (push_queue_.empty() && !announce_digest_)
        return;
    for (const instance_id& i : view.random_peers(settings_.push_fanout)) {
        if (!push_queue_.empty())
            out.push_back(
                node::send_message{i, protocol::ticket_push{push_queue_}});
        if (announce_digest_)
            out.push_back(node::send_message{i, digest(book, now)});
    }
    push_queue_.clear();
    announce_digest_ = false;
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
    // An open watch that has not failed counts as a confirmation.
    return is_watcher_ && last_read_succeeded_ ? now.wall
                                               : latest_peer_confirmation_;
}

void ticket_gossip::update_role(const membership::view& view)
{
    if (view.revision() == role_revision_)
        return;
    role_revision_ = view.revision();
    std::erase_if(digests_, [&](const auto& entry) {
        return !view.is_listed(entry.first);
    });
    const auto chosen =
        view.ranked_usable("tickets/readers", settings_.watchers);
    is_watcher_ =
        chosen.size() < settings_.watchers ||
        std::find(chosen.begin(), chosen.end(), view.self()) != chosen.end();
    const double others = std::max(0.0, double(view.listed().size()) -
                                            double(settings_.watchers));
    const auto spread =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            others / settings_.total_polls_per_second));
    poll_interval_ = std::max(settings_.min_poll_interval, spread);
}

bool ticket_gossip::may_read(instant now) const
{
    if (now.mono < next_read_)
        return false;
    if (is_watcher_)
        return true;
    if (service_answered_once_ &&
        now.wall - confirmed(now) <= settings_.service_silence_timeout)
        return false;
    return !last_read_ || now.mono - *last_read_ >= poll_interval_;
}

void ticket_gossip::on_read_started(instant now)
{
    last_read_ = now.mono;
    next_read_ = now.mono + settings_.min_read_interval;
}

duration ticket_gossip::watch_wait() const
{
    return is_watcher_ && service_answered_once_ ? settings_.watch_wait
                                                 : duration(0);
}

bool ticket_gossip::has_current_tickets(const membership::view& view,
                                        const ticket::ticket_book& book) const
{
    if (view.listed().empty())
        return false;
    std::size_t others = 0;
    std::size_t silent = 0; // may be ready and hold newer tickets
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
        agreeing += equal_digests(p->second.digest, book.digest()) ? 1 : 0;
    }
    if (others > 0 &&
        agreeing >= std::min(settings_.min_agreeing_peers, others))
        return true;
    // With few ready peers, every usable peer must have sent a digest, and at
    // least half of all. With none (all instances are starting), the service
    // must have answered.
    return silent == 0 && 2 * heard >= others && agreeing == ready &&
           (ready > 0 || service_answered_once_);
}

} // namespace lovagegate::propagation
