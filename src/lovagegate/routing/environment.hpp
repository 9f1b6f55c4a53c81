#ifndef LOVAGEGATE_ROUTING_ENVIRONMENT_HPP
#define LOVAGEGATE_ROUTING_ENVIRONMENT_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::routing {

/// What routing needs to know of the other parts of the node.
class environment
{
public:
    environment() = default;
    environment(const environment&) = delete;
    environment& operator=(const environment&) = delete;
    virtual ~environment() = default;

    [[nodiscard]] virtual const ticket::declared_state& declared() const = 0;

    /// @param width number of pools over which the adapter is spread
    /// @return an empty id when the group has no pool
    [[nodiscard]] virtual pool_id choose_pool(const target_group& group,
                                              const adapter_version& adapter,
                                              std::uint32_t width,
                                              fingerprint print) const = 0;

    /// @return the instance to ask for leases of the pool
    [[nodiscard]] virtual std::optional<instance_id>
    owner_of(const pool_id& pool) const = 0;

    /// @return the instance that remembers the request id
    [[nodiscard]] virtual std::optional<instance_id>
    home_of(const request_id& request) const = 0;

    [[nodiscard]] virtual bool quarantined(fingerprint print) const = 0;

    /// @return target crashes seen while the request ran
    [[nodiscard]] virtual std::uint32_t suspicions(fingerprint print) const = 0;

    /// @return instances that share the limits of a service
    [[nodiscard]] virtual std::size_t usable_instances() const = 0;

    /// A target broke while the request ran.
    virtual void report_crash(const protocol::suspicion& crash) = 0;

    /// The instance left repeated requests unanswered.
    virtual void report_unresponsive(const instance_id& instance) = 0;
};

} // namespace lovagegate::routing

#endif
