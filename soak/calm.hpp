#ifndef LOVAGEGATE_SOAK_CALM_HPP
#define LOVAGEGATE_SOAK_CALM_HPP

#include "lovagegate/core/time.hpp"

#include <vector>

namespace lovagegate::soak {

/// When faults were at work that nobody plans. Planned work is not among them.
class calm_record
{
public:
    /// A fault is at work from one time to another.
    void disturb(time_point from, time_point until);

    /// @return whether no fault was at work in that time
    [[nodiscard]] bool is_calm(time_point from, time_point until) const;

private:
    struct interval
    {
        time_point from;
        time_point until;
    };
    std::vector<interval> faults_;
};

/// The promises that need calm hold after so much of it.
inline constexpr duration stable_window = 3s;

} // namespace lovagegate::soak

#endif
