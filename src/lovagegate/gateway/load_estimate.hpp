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
    /// @param was_held the engine may have kept a copy
    [[nodiscard]] duration expected(bool was_held) const noexcept
    {
        return was_held ? copy_ : store_;
    }

    /// A load was still under way after a time.
    void on_longer_than(bool was_held, duration time) noexcept;

    /// A load was over within a time.
    void on_within(bool was_held, duration time) noexcept;

private:
    duration store_ = 255ms; ///< the users' engines: 250 to 288 ms
    duration copy_ = 32ms;   ///< a tenth of it, and the order's way
};

} // namespace lovagegate::gateway

#endif
