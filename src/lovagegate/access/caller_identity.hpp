#ifndef LOVAGEGATE_ACCESS_CALLER_IDENTITY_HPP
#define LOVAGEGATE_ACCESS_CALLER_IDENTITY_HPP

#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace lovagegate::access {

/// Upper bound of the tokens that one request counts as, so that sums over
/// requests don't overflow.
inline constexpr std::uint32_t max_request_tokens = 10'000'000;

/// On whose behalf a request is made, and what it counts as. It stays valid
/// when a later configuration no longer has the workspace.
struct caller_identity
{
    /// Null on anonymous routes without a known key, and if the configuration
    /// has no workspaces.
    std::shared_ptr<const gateway::workspace_spec> workspace;
    /// What the request counts as towards the workspace's rate limit, in its
    /// unit; 1 without a workspace.
    double tokens = 1;
    /// Urgency of the request: the workspace's, else the route's; 0 is the most
    /// urgent.
    std::uint32_t rank = 0;

    /// @return name of the workspace, empty without one
    [[nodiscard]] std::string_view name() const noexcept
    {
        return workspace ? std::string_view(workspace->name)
                         : std::string_view();
    }
};

} // namespace lovagegate::access

#endif
