#ifndef LOVAGEGATE_TESTS_SIM_SITE_HPP
#define LOVAGEGATE_TESTS_SIM_SITE_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <string>

/// The small site that the tests declare by tickets.
namespace lovagegate::sim {

inline constexpr std::size_t engine_slots = 2;
inline constexpr duration call_deadline = 10s;
inline constexpr std::size_t adapter_count = 4; ///< a0, a1, ...
inline constexpr double store_rate = 2.0;       ///< loads a second

/// @return e0, e1, ... for engines, then p0, p1, ... for plain targets
[[nodiscard]] inline target_id target_name(std::size_t place,
                                           std::size_t engines)
{
    return target_id(place < engines ? "e" + std::to_string(place)
                                     : "p" + std::to_string(place - engines));
}

/// Every second engine ignores fencing tokens.
[[nodiscard]] constexpr bool checks_fencing(std::size_t place)
{
    return place % 2 == 0;
}

/// @return the first ticket: everything
[[nodiscard]] std::string first_ticket(std::size_t engines, std::size_t plain);

/// @return a ticket that sets the versions of one adapter; 0 deletes it
[[nodiscard]] std::string adapter_ticket(ticket_number number,
                                         const std::string& adapter,
                                         std::size_t versions);

/// @return a ticket that lets a target leave or come back
[[nodiscard]] std::string target_ticket(ticket_number number, std::size_t place,
                                        std::size_t engines, bool leaving);

} // namespace lovagegate::sim

#endif
