#ifndef LOVAGEGATE_QUOTA_CONFIGURED_LIMITS_HPP
#define LOVAGEGATE_QUOTA_CONFIGURED_LIMITS_HPP

#include "lovagegate/gateway/site_config.hpp"
#include "lovagegate/quota/workspace_limit.hpp"

#include <vector>

namespace lovagegate::quota {

/// @return the limits of the workspaces that have one
[[nodiscard]] std::vector<workspace_limit>
configured_limits(const gateway::site_config& config);

} // namespace lovagegate::quota

#endif
