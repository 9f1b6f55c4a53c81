#include "lovagegate/pool/adapter_table.hpp"

namespace lovagegate::pool {

adapter_key adapter_table::key(const adapter_version& adapter)
{
    const auto next = static_cast<adapter_key>(adapters_.size());
    const auto [it, added] = keys_.try_emplace(adapter, next);
    if (added)
        adapters_.push_back(&it->first);
    return it->second;
}

} // namespace lovagegate::pool
