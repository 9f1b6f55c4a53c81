#include "lovagegate/pool/unloaded_adapters.hpp"

#include <algorithm>

namespace lovagegate::pool {

void unloaded_adapters::add(adapter_key adapter)
{
    std::erase(recent_, adapter);
    recent_.push_back(adapter);
    if (recent_.size() > max_size)
        recent_.pop_front();
}

adapter_key unloaded_adapters::most_demanded(const pool_state& pool) const
{
    adapter_key best = no_adapter;
    double most_demand = 0.0;
    for (const adapter_key a : recent_) {
        const double demand = pool.demand.demand(a);
        if (demand > most_demand && pool.engines.copies(a) == 0) {
            best = a;
            most_demand = demand;
        }
    }
    return best;
}

} // namespace lovagegate::pool
