#ifndef LOVAGEGATE_MEASURE_OWNER_POLICY_HPP
#define LOVAGEGATE_MEASURE_OWNER_POLICY_HPP

#include "measure/site.hpp"

#include "lovagegate/core/counters.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/permits/permit_node.hpp"
#include "lovagegate/placement/pool_map.hpp"
#include "lovagegate/pool/pool_owner.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagegate::measure {

/// Drives the pool owners and the permit node of the daemon: the entries are
/// thin fakes, the messages take time and may be lost.
class owner_policy
{
public:
    owner_policy(site& s, std::uint64_t seed);

    run_results run();
    [[nodiscard]] const counters& counts() const noexcept { return counts_; }

private:
    struct pool_seat
    {
        std::size_t instance = 0; ///< on which the owner runs
        std::unique_ptr<pool::pool_owner> owner;
        std::vector<std::size_t> engines;
    };
    /// One request at its entry instance.
    struct entry_state
    {
        std::size_t pool = 0;
        local_id lease = 0; ///< 0: none asked for
        std::uint32_t attempt = 0;
        time_point asked{};
        bool granted = false;
        std::vector<target_id> excluded;
    };
    struct held_lease
    {
        std::size_t request = 0;
        std::size_t pool = 0;
        std::size_t engine = 0;
        time_point sent{};
        duration first_token{}; ///< since it was sent
    };

    void build_state();
    void build_pools();
    void arrive(std::size_t i);
    void ask(std::size_t i);
    void send_request(std::size_t i);
    void give_up(std::size_t i);
    void send(std::size_t from, std::size_t to, protocol::message m);
    void deliver(std::size_t from, std::size_t to, const protocol::message& m);
    void to_owner(std::size_t from, const protocol::message& m);
    void carry_out(std::size_t instance, std::size_t pool,
                   const node::outbox& out);
    void order(std::size_t pool, const node::order_engine& o);
    void order_ended(std::size_t pool, const node::order_engine& o,
                     node::order_end end);
    void on_grant(std::size_t instance, const protocol::lease_grant& g);
    void on_refusal(const protocol::lease_refusal& r);
    void run_on(std::size_t i, std::size_t engine, local_id lease);
    void ended(std::size_t i, local_id lease, run_event e);
    void release(local_id lease, protocol::lease_end end, duration first_token);
    void renew(std::size_t pool);
    void report(std::size_t engine);
    void tick(std::size_t pool);
    void tick_permits();
    [[nodiscard]] protocol::sender sender_of(std::size_t instance) const;
    [[nodiscard]] std::size_t index_of(const instance_id& id) const;

    site& site_;
    generator random_;
    counters counts_;
    pool::no_crashes oracle_;
    ticket::declared_state state_;
    placement::pool_map map_;
    std::vector<instance_id> instances_;
    std::unordered_map<instance_id, std::size_t> instance_index_;
    std::vector<pool_seat> pools_;
    std::map<pool_id, std::size_t> pool_index_;
    std::unordered_map<target_id, std::size_t> engine_index_;
    std::vector<std::size_t> pool_of_engine_;
    std::unique_ptr<permits::permit_node> permits_;
    std::size_t permit_instance_ = 0;
    std::vector<entry_state> entries_;
    std::map<local_id, held_lease> leases_;
    /// Pools over which an adapter is spread, as a grant of each gateway said.
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint32_t> widths_;
};

} // namespace lovagegate::measure

#endif
