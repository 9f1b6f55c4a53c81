#ifndef LOVAGEGATE_CALLERS_CONNECTION_LIMITS_HPP
#define LOVAGEGATE_CALLERS_CONNECTION_LIMITS_HPP

#include <cstddef>

namespace lovagegate::callers {

/// How many connections an instance accepts. The other descriptors are kept for
/// targets, other instances and the store.
struct connection_limits
{
    std::size_t callers = 0;
    /// At each of the addresses for readiness, control and metrics.
    std::size_t page_server = 0;
};

/// @param descriptors that the settings allow for connections
/// @param system_descriptors that the system allows the process
[[nodiscard]] connection_limits
limits_for_descriptors(std::size_t descriptors,
                       std::size_t system_descriptors) noexcept;

} // namespace lovagegate::callers

#endif
