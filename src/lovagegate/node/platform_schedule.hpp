#ifndef LOVAGEGATE_NODE_PLATFORM_SCHEDULE_HPP
#define LOVAGEGATE_NODE_PLATFORM_SCHEDULE_HPP

#include "lovagegate/node/node_settings.hpp"
#include "lovagegate/node/outputs.hpp"

namespace lovagegate::node {

/// Schedules reads of the platform's instance list, so that the calls of all
/// instances together stay within fleet_calls_per_second. Tickets are scheduled
/// by propagation::ticket_gossip.
class platform_schedule
{
public:
    explicit platform_schedule(const list_settings& settings);

    /// Starts a read when it is due.
    /// @param instances number of listed instances
    /// @param superseded whether a peer has a newer list
    void tick(std::size_t instances, bool superseded, time_point now,
              outbox& out);

    /// Called when a read has ended.
    /// @param ok false when the service could not be read
    void on_read_answered(bool ok, time_point now);

private:
    const list_settings& settings_;
    bool read_pending_ = false;
    time_point read_started_{};
    time_point next_read_{};
};

} // namespace lovagegate::node

#endif
