#ifndef LOVAGEGATE_POOL_ENGINE_CHOOSER_HPP
#define LOVAGEGATE_POOL_ENGINE_CHOOSER_HPP

#include "lovagegate/pool/pool_state.hpp"

#include <cstddef>

namespace lovagegate::pool {

/// Chooses the engine of a request among those that hold its adapter: by the
/// owner's own open leases, since reports lag; the hash of the prompt's start
/// decides between equals, so that repeats meet a warm prefix cache.
/// @return the engine; no_engine if the request has to wait
[[nodiscard]] engine_index choose_engine(const pool_state& pool,
                                         const waiting_request& request,
                                         time_point now);

/// @return leases that the engine may have open for the priority
[[nodiscard]] std::size_t lease_limit(const pool_state& pool, const engine& e,
                                      priority importance, time_point now);

/// @return whether every engine that holds the adapter is nearly full, so
/// that another copy pays
[[nodiscard]] bool copies_nearly_full(const pool_state& pool,
                                      adapter_key adapter, time_point now);

} // namespace lovagegate::pool

#endif
