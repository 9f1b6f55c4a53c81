#ifndef LOVAGEGATE_MEASURE_FAKE_STORE_HPP
#define LOVAGEGATE_MEASURE_FAKE_STORE_HPP

#include "measure/event_queue.hpp"
#include "measure/scenario.hpp"
#include "measure/workload.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace lovagegate::measure {

/// The weight store: lets loads through at its rate, in the order of arrival;
/// a load takes longer in proportion when more are in transit than it bears.
class fake_store
{
public:
    using finished = std::function<void(bool ok)>;

    fake_store(event_queue& clock, const deployment& d, const scenario& s,
               std::uint64_t seed);

    void load(finished f);

    /// @return loads that were let through
    [[nodiscard]] std::uint64_t loads() const noexcept { return loads_; }
    /// @return most loads asked for within ten seconds
    [[nodiscard]] std::size_t most_in_window() const noexcept
    {
        return most_in_window_;
    }

private:
    void count_asked();
    void pass_on();
    void start(finished f);

    event_queue& clock_;
    const deployment& deployment_;
    const scenario& scenario_;
    generator random_;
    double tokens_;
    time_point refilled_{};
    std::deque<finished> waiting_;
    std::deque<time_point> asked_;
    bool wake_up_set_ = false;
    std::size_t in_transit_ = 0;
    std::uint64_t loads_ = 0;
    std::size_t most_in_window_ = 0;
};

} // namespace lovagegate::measure

#endif
