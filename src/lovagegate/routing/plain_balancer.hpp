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

/// Chooses targets of plain services: power of two choices on this instance's
/// own open requests, without targets that fail again and again.
class plain_balancer
{
public:
    plain_balancer(const routing_settings& settings, std::uint64_t seed);

    /// @param excluded targets that failed this request
    /// @return nothing when no target of the group can take work
    [[nodiscard]] std::optional<target_id>
    choose(const ticket::declared_state& state, const target_group& group,
           std::span<const target_id> excluded, time_point now);

    void on_started(const target_id& target);

    /// @param healthy false when the target broke or could not be reached
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
    std::unordered_map<target_id, target_load> loads_;
};

} // namespace lovagegate::routing

#endif
