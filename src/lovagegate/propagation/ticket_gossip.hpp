#ifndef LOVAGEGATE_PROPAGATION_TICKET_GOSSIP_HPP
#define LOVAGEGATE_PROPAGATION_TICKET_GOSSIP_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/membership/view.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/ticket_book.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// How change tickets reach every instance.
namespace lovagegate::propagation {

struct gossip_settings
{
    std::size_t push_fanout = 3;         ///< peers told of a new ticket
    std::size_t max_push_bytes = 16'384; ///< larger ones are only announced
    std::size_t max_pull_answer_bytes = 262'144; ///< of tickets in one answer
    std::size_t recent_pull_tickets =
        64; ///< tickets named in the first pull for a repair
    duration min_pull_interval = 500ms; ///< at most one pull in this time
    std::size_t watchers = 16;          ///< instances that watch the service
    duration watch_wait = 55s;          ///< of one watch
    duration service_silence_timeout =
        3s; ///< then the other instances read as well
    double total_polls_per_second = 80.0; ///< reads a second of these together
    duration min_poll_interval = 2s;      ///< between two reads of one of these
    duration min_read_interval = 200ms;   ///< between two reads at least
    duration read_retry_interval = 1s;    ///< after a read that failed
    /// After pulls that brought nothing.
    duration max_pull_interval = 60s;
    std::size_t min_agreeing_peers = 3; ///< a starting instance must match
};

/// Push of new tickets, repair by digests, choice of who reads the
/// configuration service, and whether a starting instance knows enough.
class ticket_gossip
{
public:
    /// @param s bounds and intervals
    /// @param c counters of the instance; must outlive this
    /// @param seed of the generator that draws receivers and phases
    ticket_gossip(gossip_settings s, counters& c, std::uint64_t seed);

    /// Applies what the configuration service returned and passes on news.
    /// @param tickets whole tickets as published
    void on_published(const std::vector<std::string>& tickets,
                      ticket::ticket_book& book, instant now);
    void on_service_unavailable(instant now);
    /// Takes one ticket in, and queues it for pushing if it is news.
    ticket::apply_outcome apply_and_queue(const std::string& raw,
                                          ticket::ticket_book& book,
                                          instant now);
    void on_push(const protocol::sender& from,
                 const protocol::ticket_push& push, ticket::ticket_book& book,
                 instant now);
    /// @param state phase of the sender, from its heartbeat; none: unknown
    void on_digest(const protocol::sender& from,
                   const protocol::ticket_digest& digest,
                   std::optional<protocol::phase> state,
                   const ticket::ticket_book& book, instant now,
                   node::outbox& out);
    void on_pull(const protocol::sender& from,
                 const protocol::ticket_pull& pull,
                 const ticket::ticket_book& book, node::outbox& out);
    /// Sends what is queued and decides who reads.
    void tick(instant now, membership::view& view,
              const ticket::ticket_book& book, node::outbox& out);
    /// @return what heartbeats tell of the tickets: for view::tick
    [[nodiscard]] protocol::ticket_digest
    digest(const ticket::ticket_book& book, instant now) const;

    /// @return whether the configuration service may be asked now
    [[nodiscard]] bool may_read(instant now) const;
    /// The platform task has sent a question.
    void on_read_started(instant now);
    /// @return how long the service is to hold the next question back until
    /// something changes; zero: answer at once
    [[nodiscard]] duration watch_wait() const;
    /// @return whether this instance watches; the others read now and then
    [[nodiscard]] bool is_watcher() const noexcept { return is_watcher_; }
    /// @return whether a starting instance may take requests
    [[nodiscard]] bool
    has_current_tickets(const membership::view& view,
                        const ticket::ticket_book& book) const;

private:
    struct peer_digest
    {
        protocol::ticket_digest digest;
        bool ready = false;
    };

    void queue_push(const std::string& raw);
    void pull_from(const instance_id& peer, const ticket::ticket_book& book,
                   time_point now, node::outbox& out);
    [[nodiscard]] wall_time confirmed(instant now) const;
    void update_role(const membership::view& view);

    gossip_settings settings_;
    counters& counters_;
    std::mt19937_64 random_;
    std::vector<std::string> push_queue_;
    bool announce_digest_ = false;
    std::map<instance_id, peer_digest> digests_;
    bool service_answered_once_ = false;   ///< it has answered this instance
    bool last_read_succeeded_ = false;     ///< it did the last time
    bool was_current_ = false;             ///< knew enough once
    wall_time latest_peer_confirmation_{}; ///< newest stamp of the peers
    bool is_watcher_ = true;
    std::uint64_t role_revision_ = 0;
    duration poll_interval_{};
    std::optional<time_point> last_read_;
    time_point next_read_{};
    time_point next_pull_{};
    duration pull_interval_{};
    /// Digest after which a recent pull had brought nothing: pull everything.
    std::optional<std::uint64_t> digest_at_recent_pull_;
};

} // namespace lovagegate::propagation

#endif
