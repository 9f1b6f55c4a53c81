#ifndef LOVAGEGATE_ROUTING_RESOLVER_HPP
#define LOVAGEGATE_ROUTING_RESOLVER_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/ticket/model.hpp"

#include <variant>

namespace lovagegate::routing {

/// What the tickets in force declare about a request.
struct resolved_request
{
    service_id service;
    target_group group;
    adapter_version adapter; ///< empty for a plain call
    bool idempotent = false;
    priority importance = priority::normal;
    std::size_t max_open =
        0; ///< limit on open requests of the service; 0: none
};

/// Resolves a request against the declared state.
/// @return the resolved request, or why the tickets in force forbid it
[[nodiscard]] std::variant<resolved_request, refusal>
resolve(const node::caller_request& request,
        const ticket::declared_state& state);

} // namespace lovagegate::routing

#endif
