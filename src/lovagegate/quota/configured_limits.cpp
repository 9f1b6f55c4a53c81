#include "lovagegate/quota/configured_limits.hpp"

namespace lovagegate::quota {

std::vector<workspace_limit>
configured_limits(const gateway::site_config& config)
{
    std::vector<workspace_limit> out;
    if (!config.workspaces)
        return out;
    for (const auto& w : *config.workspaces)
        if (w.rate_per_s > 0)
            out.push_back({w.name, w.rate_per_s, w.burst,
                           w.unit == gateway::quota_unit::tokens});
    return out;
}

} // namespace lovagegate::quota
