#ifndef LOVAGEGATE_QUOTA_LEASE_CHANNEL_HPP
#define LOVAGEGATE_QUOTA_LEASE_CHANNEL_HPP

#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/quota/message_parts.hpp"
#include "lovagegate/quota/workspace_limit.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace lovagegate::quota {

/// Validity of an answer, from the time at which its report was sent.
inline constexpr duration lease_time = 1500ms;
/// Workspaces whose demand uses up their room sooner are listed in answers.
inline constexpr duration unlisted_horizon = 2 * lease_time;

/// The exchange of an instance with one coordinator: the reports sent and the
/// last answer. The answer is a lease that runs from the time at which the
/// acknowledged report was sent, so that neither late answers nor clocks of
/// other machines extend it.
class lease_channel
{
public:
    /// What an instance had admitted of one workspace when it reported.
    struct use
    {
        std::int64_t total_admitted = 0; ///< since its start
        std::int64_t demand_per_s = 0;
    };
    using uses = std::unordered_map<workspace_id, use>;

    /// @return sequence number of the report
    std::uint64_t on_sent(uses reported, time_point now);

    /// @param own_start of this instance
    /// @return whether the answer was complete and newer than the last one
    bool on_share(const gateway::quota_share& share, incarnation own_start);

    [[nodiscard]] bool is_valid(time_point now) const;

    /// What the lease allows for one workspace.
    struct terms
    {
        double fraction = 1;
        double room = 0; ///< tokens that are surely left for all reporters
        duration age{};
        /// For how long demand may go on as reported until it uses up the room.
        duration horizon = unlisted_horizon;
        std::size_t reporters = 0;
        std::size_t instances = 1;
        /// The workspace has used half of its limit or more.
        bool is_busy = false;
        /// Nothing: not used for a whole window when the report was sent.
        std::optional<use> reported;
    };
    /// @pre is_valid()
    [[nodiscard]] terms terms_of(const workspace_limit& limit,
                                 const quota_settings& settings,
                                 time_point now) const;

    /// @return whether the latest report should have been answered by now
    [[nodiscard]] bool is_unanswered(time_point now) const;

    [[nodiscard]] std::optional<time_point> last_sent() const noexcept
    {
        return last_sent_;
    }

    /// Whether the next report should be sent as soon as possible, because much
    /// of what the lease allows is used up.
    bool is_urgent = false;

private:
    struct sent_report
    {
        std::uint64_t sequence = 0;
        time_point at{};
        uses reported;
    };

    std::uint64_t sequence_ = 0;
    std::optional<time_point> last_sent_;
    /// The acknowledged report, if any, and all later ones.
    std::deque<sent_report> sent_;
    bool is_acknowledged_ = false;
    message_sequence<gateway::quota_share> order_;
    std::unordered_map<workspace_id, gateway::quota_share::entry> shares_;
    std::uint32_t reporters_ = 0;
    std::uint32_t instances_ = 1;
};

} // namespace lovagegate::quota

#endif
