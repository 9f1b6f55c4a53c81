#ifndef LOVAGEGATE_PLACEMENT_POOL_MAP_HPP
#define LOVAGEGATE_PLACEMENT_POOL_MAP_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagegate::placement {

/// Maximum number of engines per pool if the settings give none.
inline constexpr std::size_t default_pool_size = 16;

/// Divides the engines of each target group into pools and assigns adapters to
/// pools. The result depends only on the declared state, so that all instances
/// with the same tickets agree.
class pool_map
{
public:
    pool_map() = default;

    /// @param state declared state; only targets of kind engine are assigned to
    /// pools
    /// @param pool_size maximum number of engines per pool, at least 1
    pool_map(const ticket::declared_state& state, std::size_t pool_size);

    /// @return the pools of a group; empty for a group without engines
    [[nodiscard]] std::span<const pool_id>
    pools(const target_group& group) const;

    /// @return all pools with their engines
    [[nodiscard]] const std::map<pool_id, std::vector<target_id>>&
    all() const noexcept
    {
        return targets_;
    }

    /// @return the pool of an engine; nullptr if it has none
    [[nodiscard]] const pool_id* pool_of(const target_id& target) const;

    /// @return the engines of a pool, sorted by name
    [[nodiscard]] std::span<const target_id> targets(const pool_id& pool) const;

    /// Spreads an adapter over the `width` pools with the highest weight for it
    /// and chooses one by fingerprint, so that repeats of a request go to the
    /// same owner.
    /// @param adapter the adapter
    /// @param group the target group of the service
    /// @param width pools over which the adapter is spread, at least 1
    /// @param print fingerprint of the request
    /// @param model base model; empty: any pool of the group
    /// @return the pool; an empty id if there is none
    [[nodiscard]] pool_id choose(const adapter_version& adapter,
                                 const target_group& group, std::size_t width,
                                 fingerprint print,
                                 std::string_view model = {}) const;

private:
    void
    add_group(const target_group& group, const std::string& model,
              std::span<const std::pair<target_id, failure_domain>> engines,
              std::size_t pool_size);

    std::map<target_group, std::vector<pool_id>> pools_;
    std::map<target_group, std::map<std::string, std::vector<pool_id>>>
        by_model_;
    std::map<pool_id, std::vector<target_id>> targets_;
    std::map<target_id, pool_id> pool_of_;
};

} // namespace lovagegate::placement

#endif
