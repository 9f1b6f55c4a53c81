#ifndef LOVAGEGATE_POOL_UNLOADED_ADAPTERS_HPP
#define LOVAGEGATE_POOL_UNLOADED_ADAPTERS_HPP

#include "lovagegate/pool/pool_state.hpp"

#include <cstddef>
#include <deque>

namespace lovagegate::pool {

/// The adapters most recently unloaded from an engine: candidates for a
/// prefetch. Bounded, so that the search does not grow with the number of
/// adapters.
class unloaded_adapters
{
public:
    static constexpr std::size_t max_size = 128;

    void add(adapter_key adapter);

    /// @return the adapter with the highest demand that is neither resident nor
    /// being loaded; no_adapter if there is none
    [[nodiscard]] adapter_key most_demanded(const pool_state& pool) const;

private:
    std::deque<adapter_key> recent_;
};

} // namespace lovagegate::pool

#endif
