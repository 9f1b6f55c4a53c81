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

/// Propagation of change tickets to every instance.
namespace lovagegate::propagation {

struct gossip_settings
{
    std::size_t push_fanout = 3; ///< receivers of a new ticket
    /// Limit of one push. Tickets beyond it are announced by digest only.
    std::size_t max_push_bytes = 16'384;
    std::size_t max_pull_answer_bytes = 262'144; ///< of tickets in one answer
    /// Tickets named in the first pull after a difference was found.
    std::size_t recent_pull_tickets = 64;
    duration min_pull_interval = 500ms;
    std::size_t watchers = 16; ///< instances that watch the service
    duration watch_wait = 55s; ///< maximum duration of one watch
    /// Without a confirmation for longer, other instances read as well.
    duration service_silence_timeout = 3s;
    /// Combined rate of the instances that don't watch.
    double total_polls_per_second = 80.0;
    /// Between two polls of an instance that doesn't watch.
    duration min_poll_interval = 2s;
    duration min_read_interval = 200ms; ///< between any two reads
    duration read_retry_interval = 1s;  ///< after a failed read
    /// Limit of the backoff after pulls that returned nothing new.
    duration max_pull_interval = 60s;
    /// Ready peers whose digest a starting instance must match.
    std::size_t min_agreeing_peers = 3;
};

/// Pushes new tickets to peers, repairs differences found by digests, chooses
/// the instances that read the configuration service, and decides when a
/// starting instance has the current tickets.
class ticket_gossip
{
public:
    /// @param s limits and intervals
    /// @param c counters of the instance; must outlive this
    /// @param seed seed of the generator that chooses the time of the first
    /// read
    ticket_gossip(gossip_settings s, counters& c, std::uint64_t seed);

    /// Applies the tickets returned by the configuration service and queues the
    /// accepted ones for pushing.
    /// @param tickets whole tickets as published
    void on_published(const std::vector<std::string>& tickets,
                      ticket::ticket_book& book, instant now);
    void on_service_unavailable(instant now);
    /// Applies one ticket and, if it is accepted, queues it for pushing.
    ticket::apply_outcome apply_and_queue(const std::string& raw,
                                          ticket::ticket_book& book,
                                          instant now);
    void on_push(const protocol::sender& from,
                 const protocol::ticket_push& push, ticket::ticket_book& book,
                 instant now);
    /// Records a peer's digest, and pulls from the peer if this instance may
    /// lack tickets.
    /// @param state phase of the sender from its heartbeat; none: unknown
    void on_digest(const protocol::sender& from,
                   const protocol::ticket_digest& digest,
                   std::optional<protocol::phase> state,
                   const ticket::ticket_book& book, instant now,
                   node::outbox& out);
    void on_pull(const protocol::sender& from,
                 const protocol::ticket_pull& pull,
                 const ticket::ticket_book& book, node::outbox& out);
    /// Sends queued tickets and updates the role of this instance.
    void tick(instant now, membership::view& view,
              const ticket::ticket_book& book, node::outbox& out);
    /// @return the ticket digest to be sent in heartbeats by view::tick
    [[nodiscard]] protocol::ticket_digest
    digest(const ticket::ticket_book& book, instant now) const;

    /// @return whether a read of the configuration service may start now
    [[nodiscard]] bool may_read(instant now) const;
    /// Called when the platform task has sent a read request.
    void on_read_started(instant now);
    /// @return how long the service may hold the next read until something
    /// changes; zero: it answers at once
    [[nodiscard]] duration watch_wait() const;
    /// @return whether this instance watches the service; others poll it
    [[nodiscard]] bool is_watcher() const noexcept { return is_watcher_; }
    /// @return whether the tickets are current enough for a starting instance
    /// to accept requests
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
    bool service_answered_once_ = false; ///< by the service
    bool last_read_succeeded_ = false;   ///< from the service
    bool was_current_ = false;           ///< has_current_tickets was true once
    wall_time latest_peer_confirmation_{}; ///< newest time in peers' digests
    bool is_watcher_ = true;
    std::uint64_t role_revision_ = 0;
    duration poll_interval_{};
    std::optional<time_point> last_read_;
    time_point next_read_{};
    time_point next_pull_{};
    duration pull_interval_{};
    /// Own digest at the last pull. If it is unchanged at the next pull, the
    /// last one returned nothing new, and all tickets are requested.
    std::optional<std::uint64_t> digest_at_recent_pull_;
};

} // namespace lovagegate::propagation

#endif
