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
    if (reading_ || now < next_)
        return;
    reading_ = true;
    asked_ = now;
    // A waiting watch counts as one call, so that the wait sets the rate.
    const auto fair =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(instances) / settings_.calls_per_second));
    const duration wait =
        superseded ? duration::zero() : std::max(settings_.least_wait, fair);
    out.emplace_back(read_platform{platform_part::instances, wait});
}

void platform_schedule::on_answer(bool ok, time_point now)
{
    reading_ = false;
    // A service that answers at once, whatever it was asked, is not pressed.
    next_ = ok ? asked_ + settings_.least_interval : now + settings_.retry;
}

} // namespace lovagegate::node
