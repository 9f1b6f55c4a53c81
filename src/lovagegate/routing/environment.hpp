#ifndef LOVAGEGATE_ROUTING_ENVIRONMENT_HPP
#define LOVAGEGATE_ROUTING_ENVIRONMENT_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::routing {

/// Interface through which routing queries and notifies the rest of the node.
class environment
{
public:
    environment() = default;
    environment(const environment&) = delete;
    environment& operator=(const environment&) = delete;
    virtual ~environment() = default;

    /// @return the state declared by the tickets in force
    [[nodiscard]] virtual const ticket::declared_state& declared() const = 0;

    /// Chooses the pool that serves the adapter.
    /// @param width number of pools over which the adapter is spread
    /// @return an empty id when the group has no pool
    [[nodiscard]] virtual pool_id choose_pool(const target_group& group,
                                              const adapter_version& adapter,
                                              std::uint32_t width,
                                              fingerprint print) const = 0;

    /// @return the instance that grants leases of the pool, if one is usable
    [[nodiscard]] virtual std::optional<instance_id>
    owner_of(const pool_id& pool) const = 0;

    /// @return the home of the request id: the instance that records its claim
    [[nodiscard]] virtual std::optional<instance_id>
    home_of(const request_id& request) const = 0;

    /// @return whether requests with the fingerprint are refused
    [[nodiscard]] virtual bool quarantined(fingerprint print) const = 0;

    /// @return number of known target crashes during runs of the fingerprint
    [[nodiscard]] virtual std::uint32_t
    crash_count(fingerprint print) const = 0;

    /// @return number of usable instances, which share the limits of a service
    [[nodiscard]] virtual std::size_t usable_instances() const = 0;

    /// Records that a target crashed while the request ran on it.
    virtual void report_crash(const protocol::suspicion& crash) = 0;

    /// Records that the instance did not answer repeated lease requests.
    virtual void report_unresponsive(const instance_id& instance) = 0;
};

} // namespace lovagegate::routing

#endif
