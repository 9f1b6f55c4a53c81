#ifndef LOVAGEGATE_NODE_POOL_SET_HPP
#define LOVAGEGATE_NODE_POOL_SET_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/membership/view.hpp"
#include "lovagegate/node/node_settings.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/pool/pool_owner.hpp"
#include "lovagegate/quarantine/crash_register.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace lovagegate::node {

/// The pools of the declared state and the owner of each. Holds the pool_owner
/// state of the pools that this instance owns or owned recently.
class pool_set
{
public:
    /// The objects passed by reference must outlive this one.
    pool_set(instance_id self, const node_settings& settings, counters& count,
             const quarantine::crash_register& crashes);

    /// Updates pools and roles after changes of the declared state or of
    /// membership.
    /// @param revision revision of the declared state
    void refresh(const ticket::declared_state& state, std::uint64_t revision,
                 const membership::view& view, time_point now, outbox& out);

    [[nodiscard]] const placement::pool_map& map() const noexcept
    {
        return map_;
    }

    /// @return the instance that grants leases of the pool, if one is usable
    [[nodiscard]] std::optional<instance_id>
    owner_of(const pool_id& pool) const;

    void on_lease_request(const protocol::sender& from,
                          const protocol::lease_request& request,
                          time_point now, outbox& out);
    void on_release(const protocol::sender& from,
                    const protocol::lease_release& release, time_point now,
                    outbox& out);
    void on_renewal(const protocol::sender& from,
                    const protocol::lease_renewal& renewal, time_point now,
                    outbox& out);
    void on_cancel(const protocol::sender& from,
                   const protocol::lease_cancel& cancel, time_point now,
                   outbox& out);
    void on_handover(const protocol::sender& from,
                     const protocol::pool_handover& handover, time_point now,
                     outbox& out);
    void on_permit_grant(const protocol::permit_grant& grant, time_point now,
                         outbox& out);
    void on_report(const engine_report& report, time_point now, outbox& out);
    void on_unreachable(const target_id& target, time_point now, outbox& out);
    void on_order_ended(const order_ended& ended, time_point now, outbox& out);
    /// Called when another process runs under the peer's name.
    void on_peer_restarted(const instance_id& peer, time_point now);
    void on_suspicions(std::span<const protocol::suspicion> crashes,
                       time_point now);
    /// Called when this process runs again after a pause.
    void on_resumed(time_point now);

    /// Advances the pool owners and polls the engines of owned pools.
    void tick(const ticket::declared_state& state, time_point now, outbox& out);

    /// Sends a handover of every owned pool to its next owner, at a graceful
    /// shutdown.
    void send_handovers(const membership::view& view, time_point now,
                        outbox& out);

    [[nodiscard]] std::vector<pool::pool_status> status() const;

private:
    struct owned_pool
    {
        std::unique_ptr<pool::pool_owner> owner;
        bool is_owner = false;
        time_point role_since{}; ///< last change of is_owner
        time_point next_poll{};
        pool::ownership role;
    };

    [[nodiscard]] pool::pool_owner* find(const pool_id& pool);
    [[nodiscard]] pool::pool_owner* find(const target_id& target);
    owned_pool& find_or_create(const pool_id& pool, time_point now);
    void set_targets(const pool_id& pool, pool::pool_owner& owner,
                     time_point now);
    void refresh_pools(const ticket::declared_state& state, time_point now);
    void refresh_roles(const membership::view& view, time_point now,
                       outbox& out);
    void update_role(const pool_id& pool, owned_pool& p,
                     const membership::view& view, time_point now, outbox& out);
    void set_permit_node(pool::pool_owner& owner,
                         const membership::view& view) const;
    void poll(const pool_id& pool, owned_pool& p,
              const ticket::declared_state& state, time_point now,
              outbox& out) const;
    void erase_former_pools(time_point now);

    instance_id self_;
    const node_settings& settings_;
    counters& counters_;
    const quarantine::crash_register& crashes_;
    placement::pool_map map_;
    const ticket::declared_state* state_ = nullptr;
    std::uint64_t revision_ = 0;
    std::uint64_t view_revision_ = 0;
    time_point next_role_check_{};
    std::map<pool_id, instance_id> owners_;
    std::map<pool_id, owned_pool> owned_;
};

/// @return the rendezvous key whose owner hands out the store's load permits
[[nodiscard]] std::string permit_key(std::string_view store);

} // namespace lovagegate::node

#endif
