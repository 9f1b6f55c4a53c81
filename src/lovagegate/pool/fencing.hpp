#ifndef LOVAGEGATE_POOL_FENCING_HPP
#define LOVAGEGATE_POOL_FENCING_HPP

#include "lovagegate/pool/engine.hpp"
#include "lovagegate/pool/ownership.hpp"
#include "lovagegate/pool/pool_settings.hpp"

namespace lovagegate::pool {

/// @return the token of the next order: one above the highest seen when this
/// owner took the engine over
[[nodiscard]] fencing_token order_token(engine& e) noexcept;

/// The owner took the pool over: it numbers its orders anew and waits for
/// leases of earlier owners.
/// @param all_leases_known all open leases were handed over
void take_over(engine& e, time_point since, bool all_leases_known,
               const lease_settings& settings) noexcept;

/// The engine told its highest token. If that is above ours, another owner
/// gives it orders: the first of the published list takes the engine back and
/// waits again for unknown leases; any other instance gives no more orders.
/// @return whether another owner was noticed
bool on_reported_token(engine& e, fencing_token highest, const ownership& role,
                       const lease_settings& settings, time_point now) noexcept;

} // namespace lovagegate::pool

#endif
