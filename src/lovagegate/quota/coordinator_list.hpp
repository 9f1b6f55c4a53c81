#ifndef LOVAGEGATE_QUOTA_COORDINATOR_LIST_HPP
#define LOVAGEGATE_QUOTA_COORDINATOR_LIST_HPP

#include "lovagegate/quota/workspace_limit.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::quota {

/// The instances that coordinate the limits of workspaces, chosen by rendezvous
/// hashing from the live ones. They are few, so that an instance sends few
/// reports.
class coordinator_list
{
public:
    coordinator_list() = default;
    explicit coordinator_list(std::span<const std::string> alive);

    /// Instances with the same digest have the same coordinator for each
    /// workspace.
    [[nodiscard]] std::uint32_t digest() const noexcept { return digest_; }

    [[nodiscard]] const std::vector<std::string>& all() const noexcept
    {
        return all_;
    }

    /// @return the coordinator's address; the list must not be empty
    [[nodiscard]] const std::string& coordinator_of(workspace_id id) const;

private:
    std::vector<std::string> all_;
    std::uint32_t digest_ = 0;
};

} // namespace lovagegate::quota

#endif
