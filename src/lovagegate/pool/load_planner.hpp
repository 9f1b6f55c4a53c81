#ifndef LOVAGEGATE_POOL_LOAD_PLANNER_HPP
#define LOVAGEGATE_POOL_LOAD_PLANNER_HPP

#include "lovagegate/pool/load_back_off.hpp"
#include "lovagegate/pool/pool_state.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace lovagegate::pool {

/// A load that would serve waiting requests, or that is expected to.
struct want
{
    adapter_key adapter = no_adapter;
    priority importance = priority::batch; ///< highest of the waiting
    std::uint32_t waiting = 0;
    time_point deadline = time_point::max(); ///< earliest of the waiting
    double score = 0.0; ///< the load with the highest goes first
    bool prefetch = false;
};

/// Where an adapter goes.
struct load_place
{
    engine_index engine = no_engine;
    adapter_key victim = no_adapter; ///< no_adapter: a free slot
    double victim_uses = 0.0;        ///< expected uses lost
};

/// Decides which adapter is loaded next, where, and in place of which.
class load_planner
{
public:
    /// Expected uses below which an adapter is not worth a prefetch.
    static constexpr double least_reuse = 0.05;

    /// Orders in flight on one engine.
    static constexpr std::size_t most_orders = 2;

    /// @param pool outlives this object
    explicit load_planner(const pool_state& pool) noexcept : pool_(pool) {}

    /// @return expected uses of the adapter over the pool's next requests
    [[nodiscard]] double reuse(adapter_key adapter) const;

    /// @return the wanted loads, the most valuable first; batch work that is
    /// still held back to be grouped is not among them
    [[nodiscard]] std::vector<want> wants(const load_back_off& back_off,
                                          time_point now) const;

    /// @return the score of a load that would serve the request alone
    [[nodiscard]] double score(const waiting_request& request,
                               time_point now) const;

    /// Compares the free slots and evictable adapters of all engines.
    /// @return the cheapest place; none if nothing may be evicted now
    [[nodiscard]] std::optional<load_place> place(adapter_key adapter,
                                                  time_point now) const;

private:
    [[nodiscard]] std::optional<want>
    want_for(adapter_key adapter, std::span<const waiting_request> waiting,
             time_point now) const;
    /// Loads in flight serve all that wait, as far as there is room.
    [[nodiscard]] bool served_by_orders(adapter_key adapter,
                                        std::size_t waiting) const;
    [[nodiscard]] bool held_for_group(std::span<const waiting_request> waiting,
                                      time_point now) const;
    [[nodiscard]] bool suits(engine_index i, adapter_key adapter) const;
    [[nodiscard]] double side_cost(engine_index i, adapter_key adapter) const;
    [[nodiscard]] std::optional<load_place> cheapest_slot(engine_index i,
                                                          time_point now) const;

    const pool_state& pool_;
};

} // namespace lovagegate::pool

#endif
