#include "lovagegate/callers/connection_limits.hpp"

#include <algorithm>

namespace lovagegate::callers {

namespace {

/// Part of the system's descriptors that is left for files, as a divisor.
constexpr std::size_t files_divisor = 8;
/// Callers may use 5 of 8 descriptors. A request needs one of a caller and at
/// most one of a target, and callers also keep idle connections.
constexpr std::size_t callers_share = 5;
constexpr std::size_t whole = 8;
constexpr std::size_t page_divisor = 16;
constexpr std::size_t min_page_connections = 16;
constexpr std::size_t max_page_connections = 128;

} // namespace

connection_limits
limits_for_descriptors(std::size_t descriptors,
                       std::size_t system_descriptors) noexcept
{
    const std::size_t usable = std::min(
        descriptors, system_descriptors - system_descriptors / files_divisor);
    return {std::max<std::size_t>(1, usable / whole * callers_share),
            std::clamp(usable / page_divisor, min_page_connections,
                       max_page_connections)};
}

} // namespace lovagegate::callers
