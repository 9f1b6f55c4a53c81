#ifndef LOVAGEGATE_POOL_FENCING_HPP
#define LOVAGEGATE_POOL_FENCING_HPP

#include "lovagegate/pool/engine.hpp"
#include "lovagegate/pool/ownership.hpp"
#include "lovagegate/pool/pool_settings.hpp"

namespace lovagegate::pool {

/// @return the token for this owner's orders: one above the highest token known
/// when the first order is sent
[[nodiscard]] fencing_token order_token(engine& e) noexcept;

/// Called when the owner takes the pool over: resets the fencing token and
/// starts the wait for leases of earlier owners.
/// @param since when this instance became owner
/// @param all_leases_known whether all open leases were handed over
void take_over(engine& e, time_point since, bool all_leases_known,
               const lease_settings& settings) noexcept;

/// Called with the highest token that the engine reported. A token above this
/// owner's shows that another owner sends orders to the engine. The first
/// instance of the published list then chooses a higher token and waits again
/// for unknown leases; any other instance sends no more orders.
/// @return whether another owner was detected
bool on_reported_token(engine& e, fencing_token highest, const ownership& role,
                       const lease_settings& settings, time_point now) noexcept;

} // namespace lovagegate::pool

#endif
