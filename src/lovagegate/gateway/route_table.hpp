#ifndef LOVAGEGATE_GATEWAY_ROUTE_TABLE_HPP
#define LOVAGEGATE_GATEWAY_ROUTE_TABLE_HPP

#include "lovagegate/access/workspace_table.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lovagegate::gateway {

/// The routes and services of the configuration in force. A configuration that
/// is older than the one in force is rejected.
class route_table
{
public:
    /// @return whether the configuration was newer and is now in force
    bool adopt(site_config config);

    /// @return 0 before the first configuration
    [[nodiscard]] std::uint64_t version() const noexcept;

    /// @param host as sent by the caller, with or without a port
    /// @param target path and query
    /// @return the route with the longest matching prefix, or null; it stays
    ///         valid while the caller holds the pointer
    [[nodiscard]] std::shared_ptr<const route>
    find(std::string_view host, std::string_view target) const;

    /// @return null if the configuration has no such service
    [[nodiscard]] const service_spec* service(std::string_view name) const;

    /// @return null before the first configuration
    [[nodiscard]] std::shared_ptr<const access::workspace_table>
    workspaces() const noexcept
    {
        return workspaces_;
    }

    [[nodiscard]] const caller_limits& limits() const noexcept
    {
        return config_->limits;
    }

    [[nodiscard]] const site_config& config() const noexcept
    {
        return *config_;
    }

private:
    using prefixes = std::unordered_map<std::string_view, const route*>;

    std::shared_ptr<const site_config> config_ =
        std::make_shared<const site_config>();
    std::unordered_map<std::string, prefixes> hosts_;
    std::shared_ptr<const access::workspace_table> workspaces_;
};

} // namespace lovagegate::gateway

#endif
