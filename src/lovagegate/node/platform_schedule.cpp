#include "lovagegate/node/platform_schedule.hpp"

#include <algorithm>

namespace lovagegate::node {

platform_schedule::platform_schedule(const list_settings& settings)
    : settings_(settings)
{
}

void platform_schedule::tick(std::size_t instances, bool superseded,
                             time_point now, outbox& out)
{
    if (read_pending_ || now < next_read_)
        return;
    read_pending_ = true;
    read_started_ = now;
    // A watch counts as one call however long it waits, so that the wait time
    // determines the call rate.
    const auto budget_wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(instances) / settings_.fleet_calls_per_second));
    const duration wait = superseded
                              ? duration::zero()
                              : std::max(settings_.min_watch_wait, budget_wait);
    out.emplace_back(read_platform{platform_part::instances, wait});
}

void platform_schedule::on_read_answered(bool ok, time_point now)
{
    read_pending_ = false;
    // The minimum interval limits the rate also if the service ignores the wait
    // time and answers at once.
    next_read_ = ok ? read_started_ + settings_.min_read_interval
                    : now + settings_.retry_interval;
}

} // namespace lovagegate::node
