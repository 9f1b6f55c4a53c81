#ifndef LOVAGEGATE_QUOTA_REPORT_GROUP_HPP
#define LOVAGEGATE_QUOTA_REPORT_GROUP_HPP

#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/quota/message_parts.hpp"
#include "lovagegate/quota/workspace_limit.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace lovagegate::quota {

/// What the instances with one list of coordinators report to one of these, and
/// the fraction of demand that follows from it. Instances with different lists
/// have different coordinators for a workspace; each of these gives out only
/// the part of the limit that belongs to its reporters.
class report_group
{
public:
    explicit report_group(const quota_settings& settings) : settings_(settings)
    {
    }

    /// @return whether the report was complete and newer than the last one
    bool on_report(const std::string& from, const gateway::quota_report& report,
                   time_point now);

    /// Forgets what silent instances reported: first their demand, and when the
    /// tokens have left the window, what they admitted.
    void expire(time_point now);

    struct verdict
    {
        double fraction = 1; ///< of demand that may be admitted
        double room = 0;     ///< tokens left in the window, may be negative
        /// Time in which the demand admitted uses up the room if nothing leaves
        /// the window.
        duration horizon{};
    };

    /// @param instances largest number of instances known to the coordinator
    [[nodiscard]] verdict evaluate(const workspace_limit& limit,
                                   std::size_t instances) const;

    /// @return number of instances that have reported lately
    [[nodiscard]] std::size_t reporters() const noexcept { return heard_; }

    /// @return the larger of the argument and what the reporters know
    [[nodiscard]] std::size_t largest_fleet(std::size_t instances) const;

    /// The last report of an instance that was taken.
    struct acknowledgement
    {
        incarnation start = 0;
        std::uint64_t sequence = 0;
    };
    [[nodiscard]] acknowledgement
    acknowledged(const std::string& address) const;

    /// @return addresses of the instances that have reported lately
    [[nodiscard]] std::vector<std::string> heard() const;

    /// Use of one workspace by all reporters.
    struct total
    {
        std::int64_t admitted = 0;
        std::int64_t demand_per_s = 0;
        double lasting_demand_per_s = 0; ///< average of the last seconds
        time_point averaged_at{};
    };
    [[nodiscard]] const std::unordered_map<workspace_id, total>&
    totals() const noexcept
    {
        return totals_;
    }

private:
    struct reporter
    {
        message_sequence<gateway::quota_report> order;
        time_point heard_at{};
        bool is_heard = false;
        std::uint32_t instances = 0;
        std::unordered_map<workspace_id, total> use;
    };
    struct past_use
    {
        time_point until{};
        workspace_id workspace = 0;
        std::int64_t admitted = 0;
    };
    void add(workspace_id id, std::int64_t admitted, std::int64_t demand);
    void clear_use(reporter& r);
    void update_averages(const reporter& r, time_point now);

    quota_settings settings_;
    std::map<std::string, reporter> reporters_;
    std::unordered_map<workspace_id, total> totals_;
    std::deque<past_use> past_; ///< of earlier runs of reporters
    std::size_t heard_ = 0;
};

} // namespace lovagegate::quota

#endif
