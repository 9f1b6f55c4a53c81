#ifndef LOVAGEGATE_ROUTING_PLAIN_BALANCER_HPP
#define LOVAGEGATE_ROUTING_PLAIN_BALANCER_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/routing/settings.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>

namespace lovagegate::routing {

/// Chooses targets of plain services by the power of two choices, comparing
/// this instance's own open requests. Ejects targets that fail repeatedly.
class plain_balancer
{
public:
    plain_balancer(const routing_settings& settings, std::uint64_t seed);

    /// Chooses a target of the group.
    /// @param excluded targets that failed this request
    /// @return nothing when every target is excluded, leaving or full
    [[nodiscard]] std::optional<target_id>
    choose(const ticket::declared_state& state, const target_group& group,
           std::span<const target_id> excluded, time_point now);

    /// Called when an attempt on the target starts.
    void on_started(const target_id& target);

    /// Called when an attempt on the target ends.
    /// @param healthy false when the target failed or could not be reached
    void on_ended(const target_id& target, bool healthy, time_point now);

private:
    struct target_load
    {
        std::size_t open_requests = 0;
        std::uint32_t consecutive_errors = 0; ///< in a row
        time_point ejected_until{};
    };

    const routing_settings& settings_;
    std::mt19937_64 random_;
    std::unordered_map<target_id, target_load> target_loads_;
};

} // namespace lovagegate::routing

#endif
