#ifndef LOVAGEGATE_POOL_DEPARTED_ADAPTERS_HPP
#define LOVAGEGATE_POOL_DEPARTED_ADAPTERS_HPP

#include "lovagegate/pool/pool_state.hpp"

#include <cstddef>
#include <deque>

namespace lovagegate::pool {

/// The adapters that left an engine last: candidates for prefetching. Bounded,
/// so that the search does not grow with the number of adapters.
class departed_adapters
{
public:
    static constexpr std::size_t most = 128;

    void add(adapter_key adapter);

    /// @return the one with the highest demand that no engine holds or
    /// awaits; no_adapter if there is none
    [[nodiscard]] adapter_key best(const pool_state& pool) const;

private:
    std::deque<adapter_key> recent_;
};

} // namespace lovagegate::pool

#endif
