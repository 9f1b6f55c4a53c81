#ifndef LOVAGEGATE_POOL_LOAD_MANAGER_HPP
#define LOVAGEGATE_POOL_LOAD_MANAGER_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/pool/load_backoff.hpp"
#include "lovagegate/pool/load_planner.hpp"
#include "lovagegate/pool/load_rate.hpp"
#include "lovagegate/pool/pool_state.hpp"
#include "lovagegate/pool/unloaded_adapters.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagegate::pool {

/// Effect of a finished order on waiting requests.
struct order_result
{
    engine_index engine = no_engine;
    adapter_key loaded = no_adapter; ///< adapter that can be granted now
    adapter_key failed =
        no_adapter;         ///< adapter whose loads failed too often in a row
    duration retry_after{}; ///< delay to send with the refusals for `failed`
};

/// Requests load permits and turns them into orders to engines.
class load_manager
{
public:
    /// @param pool outlives this object
    explicit load_manager(pool_state& pool);

    /// @param node the instance that grants the store's permits
    /// @param store name of the weight store
    void set_permit_node(const instance_id& node, const std::string& store);

    /// Sends the permit node a request that lists the wanted loads.
    /// @param out receives the message, unless the last request was sent less
    /// than permit_request_interval ago
    void request_permits(time_point now, node::outbox& out);

    void on_permit_grant(const protocol::permit_grant& grant, time_point now,
                         node::outbox& out);
    [[nodiscard]] order_result on_order_ended(const node::order_ended& ended,
                                              time_point now,
                                              node::outbox& out);
    /// Treats overdue orders as orders with an unknown result, returns permits
    /// whose order no longer exists, and repeats the permit request.
    void tick(time_point now, node::outbox& out);
    /// Called when another instance becomes owner: withdraws the wanted loads.
    void on_ownership_lost(node::outbox& out);
    /// Called when an engine no longer holds the adapter, because it restarted
    /// or dropped the adapter itself.
    void on_unloaded(adapter_key adapter) { unloaded_.add(adapter); }

    /// @return time until a load for this request is expected to be complete
    [[nodiscard]] duration expected_wait(const waiting_request& request,
                                         time_point now) const;
    /// @return loads ordered and not yet ended
    [[nodiscard]] std::size_t in_transit() const noexcept
    {
        return permits_.size();
    }

private:
    [[nodiscard]] std::size_t loadable_slots(time_point now) const;
    [[nodiscard]] std::vector<load_candidate>
    current_candidates(time_point now) const;
    [[nodiscard]] protocol::wanted_load to_wanted_load(const load_candidate& w,
                                                       time_point now);
    bool start_load(local_id permit, time_point now, node::outbox& out);
    void send_order(engine_index index, local_id id, node::order_kind kind,
                    adapter_key adapter, time_point now, node::outbox& out);
    void return_permit(local_id permit, bool unused, node::outbox& out);
    void end_permit(local_id order_id, node::outbox& out);
    order_result on_unload_done(engine_index index, local_id order_id,
                                time_point now, node::outbox& out);
    order_result on_order_failed(engine_index index, const slot& s,
                                 time_point now, node::outbox& out);

    pool_state& pool_;
    load_planner planner_;
    load_backoff backoff_;
    load_rate rate_;
    unloaded_adapters unloaded_;
    instance_id permit_node_;
    std::string store_;
    local_id next_id_ = 1;
    std::unordered_map<adapter_key, local_id> want_ids_;
    std::unordered_map<local_id, local_id> permits_; ///< by order id
    std::vector<load_candidate> last_candidates_;
    time_point last_request_ = never;
    bool last_request_had_wants_ =
        false; ///< the last permit request listed a load
    bool request_postponed_ =
        false; ///< a request was delayed by permit_request_interval
};

} // namespace lovagegate::pool

#endif
