#ifndef LOVAGEGATE_POOL_POOL_OWNER_HPP
#define LOVAGEGATE_POOL_POOL_OWNER_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/pool/crash_record.hpp"
#include "lovagegate/pool/grant_guard.hpp"
#include "lovagegate/pool/load_manager.hpp"
#include "lovagegate/pool/ownership.hpp"
#include "lovagegate/pool/pool_settings.hpp"
#include "lovagegate/pool/pool_state.hpp"
#include "lovagegate/pool/quarantine_lookup.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::pool {

/// State of one adapter on one engine, shown on the status page.
struct resident_status
{
    adapter_version adapter;
    slot_state state = slot_state::ready;
    std::size_t leases = 0;
};

/// State of one engine, shown on the status page.
struct engine_status
{
    target_id target;
    bool usable = false;
    health_state health = health_state::good;
    fencing_token token = 0;
    std::size_t leases = 0;
    std::vector<resident_status> adapters;
};

/// State of a pool's owner, shown on the status page.
struct pool_status
{
    pool_id pool;
    bool owner = false;
    std::size_t leases = 0;
    std::size_t waiting = 0;
    std::size_t loads_in_transit = 0;
    std::vector<engine_status> engines;
};

/// Grants leases on the engines of one pool and orders their loads and
/// evictions. Every instance has one object for each pool that it owns or
/// recently owned. It is a pure state machine: its only outputs are the
/// messages that it appends to the outbox.
class pool_owner
{
public:
    /// @param pool the pool
    /// @param self the instance that this object runs on
    /// @param settings validated settings
    /// @param counts outlives this object
    /// @param lookup quarantined and suspected fingerprints; outlives this
    /// object
    pool_owner(pool_id pool, instance_id self, const pool_settings& settings,
               counters& counts, quarantine_lookup_ref lookup);

    pool_owner(const pool_owner&) = delete;
    pool_owner& operator=(const pool_owner&) = delete;

    /// @param targets the pool's engines in the tickets in force
    void set_targets(const std::map<target_id, ticket::target>& targets,
                     time_point now);
    /// Called whenever membership may have changed.
    void set_ownership(const ownership& role, time_point now,
                       node::outbox& out);
    /// @param node the instance that grants the store's load permits
    /// @param store name of the weight store
    void set_permit_node(const instance_id& node, const std::string& store);

    void on_lease_request(const protocol::sender& from,
                          const protocol::lease_request& request,
                          time_point now, node::outbox& out);
    void on_release(const protocol::sender& from,
                    const protocol::lease_release& release, time_point now,
                    node::outbox& out);
    void on_renewal(const protocol::sender& from,
                    const protocol::lease_renewal& renewal, time_point now,
                    node::outbox& out);
    void on_cancel(const protocol::sender& from,
                   const protocol::lease_cancel& cancel, time_point now,
                   node::outbox& out);
    void on_handover(const protocol::sender& from,
                     const protocol::pool_handover& handover, time_point now,
                     node::outbox& out);
    void on_permit_grant(const protocol::permit_grant& grant, time_point now,
                         node::outbox& out);
    void on_report(const node::engine_report& report, time_point now,
                   node::outbox& out);
    void on_unreachable(const target_id& target, time_point now,
                        node::outbox& out);
    void on_order_ended(const node::order_ended& ended, time_point now,
                        node::outbox& out);
    /// Called when an instance is dead. Removes its waiting requests. Its open
    /// leases stay until they expire and a report shows that the engines no
    /// longer run their requests.
    void on_peer_gone(const instance_id& peer, time_point now);
    /// @return whether an engine must report before it gets another grant
    bool on_suspicions(std::span<const protocol::suspicion> crashes,
                       time_point now);
    /// Called after the process was paused: the known starts of the engines may
    /// be outdated, so each engine must report before it gets new work.
    void require_reports(time_point now);
    /// Called at least every node::tick_interval.
    void tick(time_point now, node::outbox& out);

    /// @return the state that the next owner needs after a planned stop
    [[nodiscard]] protocol::pool_handover handover(time_point now) const;
    [[nodiscard]] pool_status status() const;
    [[nodiscard]] const pool_state& state() const noexcept { return pool_; }

private:
    [[nodiscard]] refusal check_admission(const waiting_request& request,
                                          time_point now, node::outbox& out,
                                          duration& retry_after);
    [[nodiscard]] bool quarantined(fingerprint print) const;
    [[nodiscard]] waiting_request
    to_waiting(const protocol::sender& from,
               const protocol::lease_request& request, time_point now);
    void grant(const waiting_request& request, engine_index index,
               time_point now, node::outbox& out);
    void refuse(const lease_key& key, refusal reason, duration retry_after,
                node::outbox& out);
    void refuse_all(std::span<const waiting_request> requests, refusal reason,
                    duration retry_after, node::outbox& out);
    [[nodiscard]] std::uint32_t spread_width(adapter_key adapter) const;
    void grant_waiting_on_adapter(adapter_key adapter, time_point now,
                                  node::outbox& out);
    void grant_waiting_on_engine(engine_index index, time_point now,
                                 node::outbox& out);
    void grant_all_waiting(time_point now, node::outbox& out);
    void note_lease_end(const lease& l, bool confirmed, time_point now);
    void record_request_end(const lease& l, const protocol::released_lease& end,
                            time_point now);
    void eject_if_unhealthy(engine_index index, time_point now);
    void restart_engine(engine_index index, incarnation start, time_point now);
    void register_lease(const lease_key& key, const protocol::open_lease& open,
                        time_point now);
    void refuse_expired(time_point now, node::outbox& out);
    void poll_for_eviction(time_point now, node::outbox& out);

    instance_id self_;
    pool_state pool_;
    quarantine_lookup_ref lookup_;
    crash_record crashes_;
    load_manager loads_;
    engine_fencer fencer_;
    bool complete_handover_received_ =
        false; ///< the predecessor handed over all open leases
    time_point last_poll_ = never;
};

} // namespace lovagegate::pool

#endif
