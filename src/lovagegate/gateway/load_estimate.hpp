#ifndef LOVAGEGATE_GATEWAY_LOAD_ESTIMATE_HPP
#define LOVAGEGATE_GATEWAY_LOAD_ESTIMATE_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::gateway {

/// Estimates how long an engine takes to load an adapter. Engine reports lag,
/// so waiting for them would add more than a third to a load. The time is
/// learnt instead, separately for loads from the weight store and from the
/// cache of the engine.
class load_estimate
{
public:
    /// @param was_cached the engine may have cached the adapter
    [[nodiscard]] duration expected(bool was_cached) const noexcept
    {
        return was_cached ? from_cache_ : from_store_;
    }

    /// Called when a load was still in progress after a time.
    void on_still_loading(bool was_cached, duration time) noexcept;

    /// Called when a load has finished within a time.
    void on_load_finished(bool was_cached, duration time) noexcept;

private:
    duration from_store_ = 255ms; ///< the platform's engines take 250 to 288 ms
    /// A tenth of the time from the store, plus the network delay of the order.
    duration from_cache_ = 32ms;
};

} // namespace lovagegate::gateway

#endif
