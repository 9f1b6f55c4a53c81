#ifndef LOVAGEGATE_NODE_PLATFORM_SCHEDULE_HPP
#define LOVAGEGATE_NODE_PLATFORM_SCHEDULE_HPP

#include "lovagegate/node/node_settings.hpp"
#include "lovagegate/node/outputs.hpp"

namespace lovagegate::node {

/// Decides when the platform's instance list is read, so that the calls of
/// the whole fleet stay within their budget. Tickets have a schedule of their
/// own in propagation::ticket_gossip.
class platform_schedule
{
public:
    explicit platform_schedule(const list_settings& settings);

    /// @param instances number of listed instances
    /// @param superseded a peer has a newer list
    void tick(std::size_t instances, bool superseded, time_point now,
              outbox& out);

    /// A read has been answered.
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
