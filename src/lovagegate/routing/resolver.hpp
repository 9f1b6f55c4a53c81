#ifndef LOVAGEGATE_ROUTING_RESOLVER_HPP
#define LOVAGEGATE_ROUTING_RESOLVER_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/ticket/model.hpp"

#include <variant>

namespace lovagegate::routing {

/// A request with everything that the tickets in force say about it.
struct resolved_request
{
    service_id service;
    target_group group;
    adapter_version adapter; ///< empty for a plain call
    bool idempotent = false;
    priority importance = priority::normal;
    std::size_t max_open = 0; ///< of the service; 0: no limit
};

/// Looks a request up in the declared state.
/// @return the refusal when the tickets in force do not permit the request
[[nodiscard]] std::variant<resolved_request, refusal>
resolve(const node::caller_request& request,
        const ticket::declared_state& state);

} // namespace lovagegate::routing

#endif
