#ifndef LOVAGEGATE_POOL_GRANT_GUARD_HPP
#define LOVAGEGATE_POOL_GRANT_GUARD_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/pool/pool_state.hpp"

#include <cstdint>
#include <string_view>

namespace lovagegate::pool {

/// Why no lease may be granted on an engine: an earlier owner that still acts
/// does not know of our leases and could evict what they depend on.
enum class grant_block : std::uint8_t
{
    none,
    superseded, ///< another owner's token is higher
    not_fenced, ///< the engine has not yet taken an order with our token
    first_listed_may_act, ///< the first of the list may not know that it is
                          ///< alone
};

/// @return the name used in counters
[[nodiscard]] std::string_view to_string(grant_block b) noexcept;

/// An engine that checks tokens must have taken ours, so that it refuses every
/// earlier owner. On an engine that ignores them the first of the published
/// list may grant; another owner waits until the first one, if it lives, must
/// have noticed that it hears less than all instances, and evicts no more.
[[nodiscard]] grant_block check_grant(const engine& e, const ownership& role,
                                      const lease_settings& settings,
                                      time_point now) noexcept;

/// Makes engines take this owner's token before it grants on them: by an order
/// to load what is loaded already, which changes nothing else.
class engine_fencer
{
public:
    /// @param pool outlives this object
    explicit engine_fencer(pool_state& pool);

    /// Orders what is due.
    void tick(time_point now, node::outbox& out);

    /// @return whether the order was one of these
    bool on_order_ended(const node::order_ended& ended, time_point now);

private:
    [[nodiscard]] bool is_due(const engine& e, time_point now) const;

    pool_state& pool_;
    local_id next_id_;
};

} // namespace lovagegate::pool

#endif
