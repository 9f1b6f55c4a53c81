#ifndef LOVAGEGATE_GATEWAY_LOAD_ESTIMATE_HPP
#define LOVAGEGATE_GATEWAY_LOAD_ESTIMATE_HPP

#include "lovagegate/core/time.hpp"

namespace lovagegate::gateway {

/// How long an engine takes to load an adapter. Reports of engines lag, so
/// waiting for them would add more than a third to a load; the time is learnt
/// instead, apart for adapters from the store and for those of which the
/// engine kept a copy.
class load_estimate
{
public:
    /// @param was_cached the engine may have kept a copy
    [[nodiscard]] duration expected(bool was_cached) const noexcept
    {
        return was_cached ? from_cache_ : from_store_;
    }

    /// A load was still under way after a time.
    void on_still_loading(bool was_cached, duration time) noexcept;

    /// A load was over within a time.
    void on_load_finished(bool was_cached, duration time) noexcept;

private:
    duration from_store_ = 255ms; ///< the users' engines: 250 to 288 ms
    duration from_cache_ = 32ms;  ///< a tenth of it, and the order's way
};

} // namespace lovagegate::gateway

#endif
