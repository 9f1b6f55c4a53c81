#ifndef LOVAGEGATE_ACCESS_AUTHENTICATION_HPP
#define LOVAGEGATE_ACCESS_AUTHENTICATION_HPP

#include "lovagegate/access/caller_identity.hpp"
#include "lovagegate/access/workspace_table.hpp"
#include "lovagegate/gateway/caller_request.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lovagegate::access {

/// Why a request is refused because of its key.
enum class key_failure : std::uint8_t
{
    missing,    ///< there is none, or it is empty
    repeated,   ///< it was given more than once
    unknown,    ///< no workspace has it
    may_be_new, ///< no workspace has it, but the configuration may be outdated
};

/// @return the label in the metric of refusals
[[nodiscard]] std::string_view to_string(key_failure f) noexcept;

/// @return the reason given to the caller
[[nodiscard]] std::string_view explanation(key_failure f) noexcept;

/// @return status of the answer
[[nodiscard]] int answer_status(key_failure f) noexcept;

/// Result of looking up the caller of a request.
struct authentication
{
    caller_identity identity;
    std::optional<key_failure> failure; ///< the request must be refused
};

/// Finds out on whose behalf a request is made.
/// @param workspaces of the configuration in force when the request's head was
///                   complete
/// @param r the request's route
/// @param is_current whether the configuration is known to be current, so that
///                   an unknown key isn't a new one
[[nodiscard]] authentication authenticate(const workspace_table& workspaces,
                                          const gateway::request_facts& facts,
                                          const gateway::route& r,
                                          bool is_current);

} // namespace lovagegate::access

#endif
