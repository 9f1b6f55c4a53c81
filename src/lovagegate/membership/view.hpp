#ifndef LOVAGEGATE_MEMBERSHIP_VIEW_HPP
#define LOVAGEGATE_MEMBERSHIP_VIEW_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/membership/list_history.hpp"
#include "lovagegate/membership/settings.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Group membership: which instances exist, and which one owns each key.
namespace lovagegate::membership {

/// Combines the platform's instance list with direct evidence. The list
/// defines which instances exist; heartbeats and failed connections show
/// earlier than the list which of them are unreachable or leaving.
class view
{
public:
    /// @param self this instance
    /// @param s limits and intervals
    /// @param c counters of the instance; must outlive the view
    /// @param seed seed of the generator that chooses heartbeat receivers
    /// @param started when the process started
    view(instance_id self, membership_settings s, counters& c,
         std::uint64_t seed, time_point started = {});

    void on_list(const node::instance_list& list, instant now);
    void on_list_unavailable(instant now);
    /// Records a direct contact: any authentic message shows that its sender
    /// is alive.
    /// @return whether the sender has restarted since the last contact
    bool on_message_from(const protocol::sender& from, instant now);
    void on_heartbeat(const protocol::sender& from,
                      const protocol::heartbeat& h, instant now,
                      node::outbox& out);
    void on_connection_failed(const instance_id& peer, instant now);
    void on_request_timeout(const instance_id& peer, instant now);
    /// Sends the heartbeats that are due.
    void tick(instant now, const protocol::ticket_digest& tickets,
              node::outbox& out);
    /// Sets the phase that heartbeats report. The next tick announces a change
    /// to any phase except starting.
    void set_phase(protocol::phase p);

    [[nodiscard]] const instance_id& self() const noexcept { return self_; }
    [[nodiscard]] protocol::phase own_phase() const noexcept { return phase_; }
    [[nodiscard]] const membership_settings& settings() const noexcept
    {
        return settings_;
    }
    [[nodiscard]] std::span<const node::listed_instance> listed() const noexcept
    {
        return listed_;
    }
    [[nodiscard]] bool is_listed(const instance_id& i) const;
    [[nodiscard]] bool is_leaving(const instance_id& i) const;
    /// @return whether the instance may receive new work: it is listed, not
    /// known to be starting or leaving, not suspected and had contact within
    /// contact_timeout. A listed instance that was never contacted is usable.
    [[nodiscard]] bool usable(const instance_id& i) const;

    /// @return the usable instance with the highest rendezvous weight for a key
    [[nodiscard]] std::optional<instance_id>
    owner_of(std::string_view key) const;
    /// @return up to n usable instances for a key, highest weight first
    [[nodiscard]] std::vector<instance_id> ranked_usable(std::string_view key,
                                                         std::size_t n) const;
    /// @return the rendezvous winner of the published list, regardless of
    /// direct evidence
    [[nodiscard]] std::optional<instance_id>
    first_listed(std::string_view key) const;
    /// @return the time since which this instance has been first_listed for the
    /// key under every list; none: it is not first_listed
    [[nodiscard]] std::optional<time_point>
    first_listed_since(std::string_view key) const;
    /// @return this instance's tenure for the key, with the preceding winner;
    /// none: this instance is not first_listed
    [[nodiscard]] std::optional<tenure> own_tenure(std::string_view key) const;
    [[nodiscard]] const list_history& history() const noexcept
    {
        return history_;
    }

    /// @return the share of the listed instances, this one included, with a
    /// contact within contact_timeout; 1 without a list
    [[nodiscard]] double reachable_share() const;
    /// @return when the newest list was last confirmed, on this instance's
    /// monotonic clock: when this instance requested it, or when a peer did,
    /// less the maximum clock skew
    [[nodiscard]] time_point list_confirmed_at() const noexcept
    {
        return list_confirmed_at_;
    }
    /// @return whether the list was confirmed within list_fresh and no peer has
    /// recently reported a newer one
    [[nodiscard]] bool list_is_fresh(time_point now) const;
    /// @return whether a peer has recently reported a newer list, so that the
    /// list should be read now
    [[nodiscard]] bool list_superseded(time_point now) const;
    /// @return up to n random listed peers that are not suspected
    [[nodiscard]] std::vector<instance_id> random_peers(std::size_t n);
    /// @return the last phase reported by a peer; none: no heartbeat received
    /// from its present incarnation
    [[nodiscard]] std::optional<protocol::phase>
    phase_of(const instance_id& i) const;
    /// @return the last incarnation of a peer; none: no message received
    [[nodiscard]] std::optional<incarnation>
    incarnation_of(const instance_id& i) const;
    [[nodiscard]] time_point started() const noexcept { return started_; }
    /// @return a number that increases whenever the list, this instance's phase
    /// or the usability of an instance changes
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct peer
    {
        std::uint64_t hash = 0;
        bool listed_leaving = false;
        std::optional<time_point> last_contact;        ///< direct or reported
        std::optional<time_point> last_direct_contact; ///< own
        std::optional<protocol::phase> phase;
        incarnation start = 0;
        std::uint64_t list_index = 0;
        time_point suspected_until{};
        bool usable = true; ///< last result of compute_usable
    };

    peer* find(const instance_id& i);
    [[nodiscard]] const peer* find(const instance_id& i) const;
    void replace_list(const node::instance_list& list, instant now, bool gap);
    [[nodiscard]] instant earliest_request_time(instant now) const;
    bool accepts_index(const node::instance_list& list, time_point now);
    [[nodiscard]] bool compute_usable(const instance_id& i,
                                      const peer& p) const;
    void update_all_usable();
    void update_usable(const instance_id& i, peer& p);
    void merge_contact_ages(std::string_view heard, instant now);
    void merge_list_confirmation(const protocol::heartbeat& h, instant now);
    void mark_suspected(const instance_id& i, instant now);
    void send_heartbeat(const instance_id& to, instant now, bool reply,
                        node::outbox& out);
    [[nodiscard]] std::string sample_contact_ages(time_point t);
    [[nodiscard]] std::vector<instance_id> heartbeat_receivers();
    void detect_pause(instant now);

    instance_id self_;
    membership_settings settings_;
    counters& counters_;
    std::mt19937_64 random_;
    time_point started_;
    time_point now_{};
    protocol::phase phase_ = protocol::phase::starting;
    bool announce_phase_ = false;
    protocol::ticket_digest tickets_;
    std::vector<node::listed_instance> listed_; ///< sorted by id
    std::unordered_map<instance_id, peer> peers_;
    std::unordered_map<std::uint32_t, peer*> peers_by_key_;
    list_history history_;
    std::uint64_t list_index_ = 0;
    std::optional<time_point> lower_index_since_;
    time_point last_list_request_{};
    time_point list_confirmed_at_{};
    wall_time list_confirmed_wall_{};
    std::optional<time_point> last_tick_;
    time_point next_heartbeat_{};
    time_point ignore_contact_ages_until_{};
    std::size_t next_startup_receiver_ = 0; ///< unreduced index
    std::uint64_t revision_ = 1;
};

} // namespace lovagegate::membership

#endif
