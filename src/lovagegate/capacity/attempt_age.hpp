#ifndef LOVAGEGATE_CAPACITY_ATTEMPT_AGE_HPP
#define LOVAGEGATE_CAPACITY_ATTEMPT_AGE_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace lovagegate::capacity {

/// Estimates how long ago a caller made the first attempt of a request. Callers
/// set the same deadline for all requests of a kind and state the time that is
/// left, so the longest time left is that of first attempts.
class attempt_age
{
public:
    /// @param kind hash of the route
    /// @param time_left as the caller stated it, at most the route's timeout
    /// @return time since the first attempt
    duration observe(std::uint64_t kind, duration time_left, time_point now);

private:
    struct longest
    {
        duration current{};  ///< of this period
        duration previous{}; ///< of the one before
        time_point since{};
    };

    std::unordered_map<std::uint64_t, longest> kinds_;
};

} // namespace lovagegate::capacity

#endif
