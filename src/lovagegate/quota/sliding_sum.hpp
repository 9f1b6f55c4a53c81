#ifndef LOVAGEGATE_QUOTA_SLIDING_SUM_HPP
#define LOVAGEGATE_QUOTA_SLIDING_SUM_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <deque>

namespace lovagegate::quota {

/// Sum of what was added within a window, kept in slots of a 32nd of it.
class sliding_sum
{
public:
    explicit sliding_sum(duration window);

    /// @param tokens negative if they are given back
    void add(std::int64_t tokens, time_point now);

    /// @return sum over the window, 0 or more; the tokens of the slot at its
    ///         beginning are assumed to be spread evenly
    [[nodiscard]] std::int64_t sum(time_point now) const;

    /// @param horizon at most the window
    /// @return tokens per second over the horizon and up to one slot more
    [[nodiscard]] double rate(duration horizon, time_point now) const;

private:
    struct slot
    {
        std::int64_t number = 0;
        std::int64_t tokens = 0;
    };
    [[nodiscard]] std::int64_t slot_number(time_point t) const;
    [[nodiscard]] duration time_in_slot(time_point t) const;
    [[nodiscard]] std::int64_t sum_from(std::int64_t first) const;

    static constexpr std::int64_t slots_per_window = 32;
    duration width_;
    std::deque<slot> slots_;
};

} // namespace lovagegate::quota

#endif
