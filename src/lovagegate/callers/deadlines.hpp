#ifndef LOVAGEGATE_CALLERS_DEADLINES_HPP
#define LOVAGEGATE_CALLERS_DEADLINES_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace lovagegate::callers {

/// A request that is received.
struct received_part
{
    duration age{}; ///< since its first byte
    bool head_complete = false;
    std::size_t body_bytes = 0; ///< without transfer coding
    /// Bytes wait to be read. The event loop may be late.
    bool has_unread_input = false;
};

enum class overdue : std::uint8_t
{
    nothing,
    head,
    body,
};

/// Time limits that single bytes now and then don't extend: a head has a fixed
/// time; a body has more only for bytes that have arrived, at a rate that slow
/// networks reach.
/// @param head_timeout of the configuration in force
[[nodiscard]] overdue overdue_part(const received_part& part,
                                   duration head_timeout) noexcept;

/// @param idle_timeout of the configuration in force
/// @param bytes of complete answers that were unsent at the start
/// @return time in which a caller must have read them
[[nodiscard]] duration delivery_timeout(duration idle_timeout,
                                        std::size_t bytes) noexcept;

} // namespace lovagegate::callers

#endif
