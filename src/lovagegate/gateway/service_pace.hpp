#ifndef LOVAGEGATE_GATEWAY_SERVICE_PACE_HPP
#define LOVAGEGATE_GATEWAY_SERVICE_PACE_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::gateway {

/// Learns from the requests of this instance how long one service takes for a
/// request, and how many requests it has open on average.
class service_pace
{
public:
    void on_sent(time_point now);
    void on_left(time_point now);

    /// @param run_time time from sending a request to the end of its answer
    void on_answer(duration run_time);

    /// @param time from sending a request to the first event of its stream
    void on_first_event(duration time);

    /// @return nothing before the first answer
    [[nodiscard]] std::optional<duration> mean_run_time() const noexcept
    {
        return mean_run_time_;
    }

    /// @return nothing before the first event
    [[nodiscard]] std::optional<duration> mean_first_event_time() const noexcept
    {
        return mean_first_event_time_;
    }

    /// @return open requests of this instance, averaged over the last seconds
    [[nodiscard]] double mean_open(time_point now) const;

private:
    void set_open(std::uint32_t open, time_point now);

    std::optional<duration> mean_run_time_;
    std::optional<duration> mean_first_event_time_;
    std::uint32_t open_ = 0;
    double mean_open_ = 0; ///< at the time of the last change
    time_point changed_at_{};
};

} // namespace lovagegate::gateway

#endif
