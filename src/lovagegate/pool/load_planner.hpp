#ifndef LOVAGEGATE_POOL_LOAD_PLANNER_HPP
#define LOVAGEGATE_POOL_LOAD_PLANNER_HPP

#include "lovagegate/pool/load_backoff.hpp"
#include "lovagegate/pool/pool_state.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace lovagegate::pool {

/// A load that would serve waiting requests, or a prefetch for expected ones.
struct load_candidate
{
    adapter_key adapter = no_adapter;
    priority importance = priority::batch; ///< highest of the waiting requests
    std::uint32_t waiting = 0;
    time_point deadline =
        time_point::max(); ///< earliest of the waiting requests
    double score = 0.0;    ///< loads with a higher score go first
    bool prefetch = false;
};

/// The engine and slot for a load.
struct load_location
{
    engine_index engine = no_engine;
    adapter_key victim = no_adapter; ///< no_adapter: uses a free slot
    double victim_uses = 0.0; ///< expected uses lost by evicting the victim
};

/// Decides which adapter is loaded next, on which engine, and which adapter it
/// replaces.
class load_planner
{
public:
    /// Minimum expected uses for which an adapter is worth a prefetch.
    static constexpr double min_prefetch_uses = 0.05;

    /// Maximum number of orders in flight on one engine.
    static constexpr std::size_t max_orders_per_engine = 2;

    /// @param pool outlives this object
    explicit load_planner(const pool_state& pool) noexcept : pool_(pool) {}

    /// @return expected uses of the adapter within the pool's next requests
    [[nodiscard]] double expected_uses(adapter_key adapter) const;

    /// @return the loads worth ordering, in descending order of score; without
    /// batch work that still waits to form a group
    [[nodiscard]] std::vector<load_candidate>
    load_candidates(const load_backoff& backoff, time_point now) const;

    /// @return the score of a load that serves this request alone
    [[nodiscard]] double score(const waiting_request& request,
                               time_point now) const;

    /// Compares the free slots and evictable adapters of all engines.
    /// @return the location of lowest cost; none if there is no free slot and
    /// nothing may be evicted now
    [[nodiscard]] std::optional<load_location> find_place(adapter_key adapter,
                                                          time_point now) const;

private:
    [[nodiscard]] std::optional<load_candidate>
    candidate_for(adapter_key adapter, std::span<const waiting_request> waiting,
                  time_point now) const;
    /// @return whether the loads in flight have capacity for all waiting
    /// requests
    [[nodiscard]] bool covered_by_pending_loads(adapter_key adapter,
                                                std::size_t waiting) const;
    [[nodiscard]] bool
    waits_for_batch_group(std::span<const waiting_request> waiting,
                          time_point now) const;
    [[nodiscard]] bool can_load_on(engine_index i, adapter_key adapter) const;
    [[nodiscard]] double placement_cost(engine_index i,
                                        adapter_key adapter) const;
    [[nodiscard]] std::optional<load_location>
    cheapest_slot(engine_index i, time_point now) const;

    const pool_state& pool_;
};

} // namespace lovagegate::pool

#endif
