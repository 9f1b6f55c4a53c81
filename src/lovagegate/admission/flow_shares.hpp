#ifndef LOVAGEGATE_ADMISSION_FLOW_SHARES_HPP
#define LOVAGEGATE_ADMISSION_FLOW_SHARES_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace lovagegate::admission {

/// What flows of requests ask for and get. A flow is identified by a hash: that
/// of a workspace, of a kind, or of both.
class flow_shares
{
public:
    void on_arrival(std::uint64_t flow, time_point now);
    void on_served(std::uint64_t flow, time_point now);

    /// @return requests served recently for each request of the flow's usual
    ///         demand: 1 for a flow whose usual demand is served
    [[nodiscard]] double use_of_usual(std::uint64_t flow, time_point now) const;

    /// @return share of the recent requests that were served, 0 to 1
    [[nodiscard]] double served_share(std::uint64_t flow, time_point now) const;

    /// @return the same for all flows together
    [[nodiscard]] double served_share_of_all(time_point now) const;

    /// @return whether the flow is served so much less often than all that it
    ///         must be preferred
    [[nodiscard]] bool is_starved(std::uint64_t flow, time_point now) const;

    /// Erases flows without requests for a long time.
    void expire(time_point now);

private:
    struct flow_record
    {
        time_point first{};
        time_point last{};
        double learnt = 0;     ///< requests in learning_time
        double usual_rate = 0; ///< requests a second, after learning_time
        double recent = 0;     ///< decaying count over recent_time
        double served = 0;     ///< decaying count over recent_time
    };

    /// @return the record with its counts decayed to the time
    [[nodiscard]] static flow_record at(const flow_record& f, time_point now);
    void add_arrival(flow_record& f, time_point now);
    void add_served(flow_record& f, time_point now);
    [[nodiscard]] static double served_share(const flow_record& f);

    std::unordered_map<std::uint64_t, flow_record> flows_;
    flow_record all_;
};

} // namespace lovagegate::admission

#endif
