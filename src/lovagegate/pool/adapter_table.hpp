#ifndef LOVAGEGATE_POOL_ADAPTER_TABLE_HPP
#define LOVAGEGATE_POOL_ADAPTER_TABLE_HPP

#include "lovagegate/core/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace lovagegate::pool {

/// Index of an adapter within one pool owner.
using adapter_key = std::uint32_t;
/// Index of an engine within one pool owner.
using engine_index = std::uint32_t;

inline constexpr adapter_key no_adapter = UINT32_MAX;
inline constexpr engine_index no_engine = UINT32_MAX;

/// Assigns indices to the adapters that were requested or reported, so that the
/// components of the owner index vectors instead of comparing names.
class adapter_table
{
public:
    /// @return the key of the adapter; assigns one if it has none
    adapter_key key(const adapter_version& adapter);

    /// @return the adapter with the key
    [[nodiscard]] const adapter_version& adapter(adapter_key key) const
    {
        return *adapters_[key];
    }

    [[nodiscard]] std::size_t size() const noexcept { return adapters_.size(); }

private:
    std::unordered_map<adapter_version, adapter_key> keys_;
    std::deque<const adapter_version*> adapters_;
};

} // namespace lovagegate::pool

#endif
