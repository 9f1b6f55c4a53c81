#ifndef LOVAGEGATE_POOL_GRANT_GUARD_HPP
#define LOVAGEGATE_POOL_GRANT_GUARD_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/pool/pool_state.hpp"

#include <cstdint>
#include <string_view>

namespace lovagegate::pool {

/// Reason why no lease may be granted on an engine: an earlier owner that is
/// still active does not know this owner's leases and could evict the adapters
/// that they use.
enum class grant_block : std::uint8_t
{
    none,
    superseded, ///< another owner's token is higher
    not_fenced, ///< the engine has not yet accepted an order with this owner's
                ///< token
    first_listed_may_act, ///< the first listed instance may still act as owner
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(grant_block b) noexcept;

/// Decides whether leases may be granted on an engine. An engine that checks
/// tokens must have accepted this owner's token, so that it rejects every
/// earlier owner. On an engine that ignores tokens, the first instance of the
/// published list may grant at once. Any other owner waits for
/// first_listed_wait: by then the first listed instance, if it is alive, has
/// detected that it does not receive heartbeats from all instances and no
/// longer evicts.
[[nodiscard]] grant_block check_grant(const engine& e, const ownership& role,
                                      const lease_settings& settings,
                                      time_point now) noexcept;

/// Sends each engine this owner's token before leases are granted on it. It
/// orders the load of an adapter that is already loaded, which has no other
/// effect.
class engine_fencer
{
public:
    /// @param pool outlives this object
    explicit engine_fencer(pool_state& pool);

    /// Sends the fencing orders that are due.
    void tick(time_point now, node::outbox& out);

    /// @return whether the order was a fencing order
    bool on_order_ended(const node::order_ended& ended, time_point now);

private:
    [[nodiscard]] bool is_due(const engine& e, time_point now) const;

    pool_state& pool_;
    local_id next_id_;
};

} // namespace lovagegate::pool

#endif
