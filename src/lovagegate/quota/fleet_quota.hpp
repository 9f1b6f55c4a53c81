#ifndef LOVAGEGATE_QUOTA_FLEET_QUOTA_HPP
#define LOVAGEGATE_QUOTA_FLEET_QUOTA_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/quota/coordinator_list.hpp"
#include "lovagegate/quota/fallback_bucket.hpp"
#include "lovagegate/quota/fleet_size.hpp"
#include "lovagegate/quota/lease_channel.hpp"
#include "lovagegate/quota/report_group.hpp"
#include "lovagegate/quota/request_thinning.hpp"
#include "lovagegate/quota/sliding_sum.hpp"
#include "lovagegate/quota/workspace_limit.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Rate limits of workspaces, kept by all instances together. Each instance
/// admits a fraction of what its callers ask for; a coordinator derives the
/// fraction from all instances' reports. See docs/design/quota.md.
namespace lovagegate::quota {

/// Identifies this instance to the others.
struct identity
{
    std::string address;
    incarnation start = 0;
    std::size_t seeds = 0; ///< other instances named in the settings
};

/// One instance's part in the limits of all workspaces: admission of its
/// callers' requests, and coordination of some workspaces for all instances.
/// Times are monotonic and include the time while the machine is suspended.
class fleet_quota
{
public:
    using sender = std::function<void(const std::string& to,
                                      const gateway::peer_message&)>;

    /// @param counts receives the tokens admitted, refused and given back
    fleet_quota(identity self, const quota_settings& settings,
                std::uint64_t random_seed, sender send, counters& counts);

    /// Replaces the limits; workspaces that are not among them are forgotten.
    /// @param limits a workspace without a positive rate is not limited
    void set_limits(std::span<const workspace_limit> limits);

    /// Decides on one request of a workspace.
    /// @return nothing if it is admitted; else when the caller may try again
    [[nodiscard]] std::optional<duration> admit(std::string_view workspace,
                                                double tokens, time_point now);

    /// Called when a request was admitted and certainly has not run.
    void give_back(std::string_view workspace, double tokens, time_point now);

    void on_message(const std::string& from,
                    const gateway::quota_report& report, time_point now);
    void on_message(const std::string& from, const gateway::quota_share& share);

    /// Tells who takes part; call it several times a second.
    /// @param alive addresses of the live instances, this one included
    /// @param leaving addresses of those that have said that they leave
    void set_members(std::span<const std::string> alive,
                     std::span<const std::string> leaving, time_point now);

    /// Sends what is due; call it every 50 ms.
    void tick(time_point now);

    /// Fraction of a workspace's demand that was last admitted here.
    struct fraction_gauge
    {
        std::string label; ///< workspace="NAME"
        double fraction = 1;
    };
    /// @return the fractions of a bounded number of workspaces
    [[nodiscard]] std::vector<fraction_gauge> fractions() const;

    /// @return number of workspaces that this instance coordinates for others
    ///         and for itself and that were used lately
    [[nodiscard]] std::size_t coordinated() const;

private:
    /// Use of one workspace at this instance.
    struct workspace
    {
        workspace(const quota_settings& s, std::mt19937_64& random)
            : demand(s.window), admitted(s.window), thinning(random)
        {
        }
        sliding_sum demand;
        sliding_sum admitted;
        std::int64_t total_admitted = 0;
        request_thinning thinning;
        fallback_bucket fallback;
        double fraction = 1;
        time_point last_request{};
        std::optional<time_point> last_refusal; ///< while it is limited
        std::uint64_t refused = 0;              ///< since it is limited
        std::string label;                      ///< workspace="NAME"
    };
    /// A list of coordinators and the exchange with each of them.
    struct assignment
    {
        coordinator_list coordinators;
        time_point since{};
        std::map<std::string, lease_channel> channels;
    };
    struct coordination
    {
        report_group reports;
        time_point last_push{};
        bool push_due = false;
        /// Largest fraction told to a reporter since the last push, by
        /// workspace; 1 for those that it lacks.
        std::unordered_map<workspace_id, double> told;
    };

    workspace& use_of(workspace_id id, const workspace_limit& limit);
    /// @return the exchange whose lease applies, or null without a valid one
    [[nodiscard]] lease_channel* lease_for(workspace_id id, time_point now);
    [[nodiscard]] bool is_usable(lease_channel* channel,
                                 const workspace_limit& limit,
                                 time_point now) const;
    [[nodiscard]] std::optional<duration>
    admit_by_lease(lease_channel& channel, workspace& w,
                   const workspace_limit& limit, std::int64_t tokens,
                   time_point now);
    [[nodiscard]] std::optional<duration>
    admit_by_fallback(workspace& w, const workspace_limit& limit,
                      std::int64_t tokens, time_point now);
    [[nodiscard]] duration retry_after(duration room_in, double fraction);
    void on_refused(workspace& w, const workspace_limit& limit,
                    std::int64_t tokens, time_point now);
    void update_coordinators(std::span<const std::string> alive,
                             time_point now);
    void send_reports(assignment& a, time_point now);
    /// Sends a report that should not wait, if that is allowed by now. There is
    /// no limit for reports to this instance itself, which cost no datagram.
    void send_urgent_report(const lease_channel& channel, time_point now);
    [[nodiscard]] bool is_report_due(const assignment& a,
                                     const std::string& coordinator,
                                     const lease_channel& channel,
                                     time_point now) const;
    void send_report(assignment& a, const std::string& coordinator,
                     lease_channel& channel, time_point now);
    void send_share(std::uint32_t digest, const coordination& c,
                    const std::string& to,
                    const std::vector<gateway::quota_share::entry>& entries,
                    time_point now);
    /// @return the shares of all workspaces that have used half of their limit
    [[nodiscard]] std::vector<gateway::quota_share::entry>
    shares_of(const coordination& c) const;
    /// Sends new answers to all reporters if a fraction has fallen.
    void push(std::uint32_t digest, coordination& c, time_point now);
    void forget_idle(time_point now);
    void deliver(const std::string& to, const gateway::peer_message& message,
                 time_point now);
    [[nodiscard]] std::string label_of(const std::string& name) const;
    void count(std::string_view counter, const workspace& w,
               std::int64_t tokens);

    identity self_;
    quota_settings settings_;
    std::mt19937_64 random_;
    sender send_;
    counters& counts_;
    fleet_size fleet_;
    std::unordered_map<workspace_id, workspace_limit> limits_;
    std::unordered_map<workspace_id, workspace> workspaces_;
    std::optional<assignment> current_;
    std::optional<assignment> previous_;
    std::map<std::uint32_t, coordination> coordinated_; ///< by digest
    std::uint64_t share_sequence_ = 0;
    std::optional<time_point> members_since_;
    time_point last_cleanup_{};
};

} // namespace lovagegate::quota

#endif
