#ifndef LOVAGEGATE_CORE_BOOTTIME_HPP
#define LOVAGEGATE_CORE_BOOTTIME_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate {

/// @return a monotonic time that includes the time while the machine is
///         suspended
[[nodiscard]] time_point boottime_now();

} // namespace lovagegate

#endif
