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

/// Which instances there are, and which of them answers for what.
namespace lovagegate::membership {

/// The platform's list joined with direct evidence. The list says who exists;
/// heartbeats and failed connections say sooner who is gone or leaving.
class view
{
public:
    /// @param self this instance
    /// @param s bounds and intervals
    /// @param c counters of the instance; must outlive the view
    /// @param seed of the generator that draws heartbeat receivers
    /// @param started when the process started
    view(instance_id self, membership_settings s, counters& c,
         std::uint64_t seed, time_point started = {});

    void on_list(const node::instance_list& list, instant now);
    void on_list_unavailable(instant now);
    /// Any authentic message shows that its sender is alive.
    /// @return whether the sender is another incarnation than heard before
    bool on_message_from(const protocol::sender& from, instant now);
    void on_heartbeat(const protocol::sender& from,
                      const protocol::heartbeat& h, instant now,
                      node::outbox& out);
    void on_connection_failed(const instance_id& peer, instant now);
    void on_request_timeout(const instance_id& peer, instant now);
    /// Sends the heartbeats that are due.
    void tick(instant now, const protocol::ticket_digest& tickets,
              node::outbox& out);
    /// The phase that heartbeats tell; leaving is announced by the next tick.
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
    /// @return whether new work may be given to the instance: listed, ready as
    /// far as is known, not leaving, heard lately and not suspected
    [[nodiscard]] bool usable(const instance_id& i) const;

    /// @return the first usable instance for a key
    [[nodiscard]] std::optional<instance_id>
    owner_of(std::string_view key) const;
    /// @return up to n usable instances for a key, best first
    [[nodiscard]] std::vector<instance_id> ranked_usable(std::string_view key,
                                                         std::size_t n) const;
    /// @return the first of the published list, whatever the evidence says
    [[nodiscard]] std::optional<instance_id>
    first_listed(std::string_view key) const;
    /// @return since when this instance has been first_listed for the key under
    /// every list; none: it is not
    [[nodiscard]] std::optional<time_point>
    first_listed_since(std::string_view key) const;
    /// @return the same with the first before it
    [[nodiscard]] std::optional<tenure> own_tenure(std::string_view key) const;
    [[nodiscard]] const list_history& history() const noexcept
    {
        return history_;
    }

    /// @return share of the listed instances, this one included, that were
    /// heard of within contact_timeout; 1 without a list
    [[nodiscard]] double reachable_share() const;
    /// @return when the newest list was last confirmed, on this instance's
    /// clock: by its own reading, or by a peer's with the clock skew taken off
    [[nodiscard]] time_point list_confirmed_at() const noexcept
    {
        return list_confirmed_at_;
    }
    /// @return whether the list was confirmed within list_fresh and no peer
    /// told lately of a newer one
    [[nodiscard]] bool list_is_fresh(time_point now) const;
    /// @return whether the list should be read now, because a peer has a newer
    [[nodiscard]] bool list_superseded(time_point now) const;
    /// @return up to n random listed peers that are not suspected
    [[nodiscard]] std::vector<instance_id> random_peers(std::size_t n);
    /// @return what a peer said of itself lately; none: not heard
    [[nodiscard]] std::optional<protocol::phase>
    phase_of(const instance_id& i) const;
    /// @return the last incarnation heard of; none: not heard
    [[nodiscard]] std::optional<incarnation>
    incarnation_of(const instance_id& i) const;
    [[nodiscard]] time_point started() const noexcept { return started_; }
    /// @return a number that rises whenever list, phases or usability change
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct peer
    {
        std::uint64_t hash = 0;
        bool listed_leaving = false;
        std::optional<time_point> last_contact;  ///< at first or second hand
        std::optional<time_point> last_direct_contact; ///< at first hand
        std::optional<protocol::phase> phase;
        incarnation start = 0;
        std::uint64_t list_index = 0;
        time_point suspected_until{};
        bool usable = true; ///< as computed last
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
    std::size_t next_startup_receiver_ = 0; ///< next receiver while starting
    std::uint64_t revision_ = 1;
};

} // namespace lovagegate::membership

#endif
