#ifndef LOVAGEGATE_POOL_ENGINE_CHOOSER_HPP
#define LOVAGEGATE_POOL_ENGINE_CHOOSER_HPP

#include "lovagegate/pool/pool_state.hpp"

#include <cstddef>

namespace lovagegate::pool {

/// Chooses the engine for a request among those that hold its adapter. Compares
/// the owner's own open leases, since reports lag. The hash of the prompt's
/// prefix breaks ties, so that repeated prompts reach a warm prefix cache.
/// @return the engine; no_engine if the request has to wait
[[nodiscard]] engine_index choose_engine(const pool_state& pool,
                                         const waiting_request& request,
                                         time_point now);

/// @return maximum number of open leases on the engine for the priority
[[nodiscard]] std::size_t lease_limit(const pool_state& pool, const engine& e,
                                      priority importance, time_point now);

/// @return whether every engine that holds the adapter is nearly full, so that
/// another copy is worth loading
[[nodiscard]] bool copies_nearly_full(const pool_state& pool,
                                      adapter_key adapter, time_point now);

} // namespace lovagegate::pool

#endif
