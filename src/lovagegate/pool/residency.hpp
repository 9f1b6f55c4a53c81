#ifndef LOVAGEGATE_POOL_RESIDENCY_HPP
#define LOVAGEGATE_POOL_RESIDENCY_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/adapter_table.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lovagegate::pool {

/// A time before all others.
inline constexpr time_point never = time_point::min();

enum class slot_state : std::uint8_t
{
    ready,     ///< the engine holds the adapter
    loading,   ///< a load was ordered
    unloading, ///< an unload was ordered
    uncertain, ///< the result of an order is unknown until a later report
};

/// State of one adapter on one engine, as known to the owner.
struct slot
{
    adapter_key adapter = no_adapter;
    slot_state state = slot_state::ready;
    local_id order = 0; ///< id of the order in flight, or of the last one
    adapter_key next_adapter = no_adapter; ///< adapter to load after the unload
    time_point state_since = never;        ///< start of the current state
    time_point loaded_at =
        never; ///< when the owner learned that the load was complete
    time_point last_confirmed_end =
        never; ///< end of the last lease that confirmed that the engine is done
    /// End of the last lease that ended without confirmation that the engine no
    /// longer runs its request.
    time_point last_unconfirmed_end = never;
    time_point last_idle_report =
        never; ///< arrival of the last report without work
    time_point last_busy_report =
        never; ///< arrival of the last report with work
};

/// One adapter in an engine's report.
struct reported_adapter
{
    adapter_key adapter = no_adapter;
    bool busy = false; ///< requests run or wait for the adapter
};

/// Adapters on one engine: combines the owner's own orders with lagging
/// reports.
class residency
{
public:
    /// @param capacity maximum number of adapters on the engine
    void set_capacity(std::size_t capacity) noexcept { capacity_ = capacity; }

    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
    [[nodiscard]] std::span<const slot> slots() const noexcept
    {
        return slots_;
    }
    [[nodiscard]] std::size_t free() const noexcept
    {
        return capacity_ > slots_.size() ? capacity_ - slots_.size() : 0;
    }

    /// @return the adapter's slot in any state; nullptr if there is none
    [[nodiscard]] const slot* find(adapter_key adapter) const;
    [[nodiscard]] bool holds(adapter_key adapter) const;
    [[nodiscard]] bool has_pending_load(adapter_key adapter) const;

    /// Occupies a free slot for a load.
    void begin_load(adapter_key adapter, local_id order, time_point now);
    /// Marks the victim's slot as unloading; a load of `next` follows.
    void begin_unload(adapter_key victim, adapter_key next, local_id order,
                      time_point now);
    /// Called when the unload is complete: starts the load of the next adapter
    /// in its slot.
    /// @return the next adapter; no_adapter if there is none
    adapter_key follow_unload(local_id order, local_id next_order,
                              time_point now);
    /// @return the slot with the order in flight; nullptr if there is none
    [[nodiscard]] const slot* find_order(local_id order) const;

    void load_done(local_id order, time_point now);
    /// Called when the order failed: a failed load frees the slot, after a
    /// failed unload the adapter stays resident.
    void order_failed(local_id order, time_point now);
    /// Called when the result of the order is unknown.
    void order_unknown(local_id order, time_point now);

    void lease_ended(adapter_key adapter, bool confirmed, time_point now);
    /// Called when the engine reports that it does not hold the adapter.
    void remove(adapter_key adapter);
    /// Called when the engine restarted.
    void clear() { slots_.clear(); }

    /// Applies a report. Slots whose state may have changed after the report
    /// was created are left unchanged.
    /// @param report all adapters that the engine reports as resident
    /// @param now arrival time of the report
    /// @param report_lag maximum age of a report's content on arrival
    void reconcile(std::span<const reported_adapter> report, time_point now,
                   duration report_lag);

    /// @return ids of the orders in flight for longer than the timeout
    [[nodiscard]] std::vector<local_id> overdue(time_point now,
                                                duration timeout) const;
    /// @return number of loads and unloads in flight
    [[nodiscard]] std::size_t in_flight() const;

private:
    slot* find_mutable(adapter_key adapter);
    slot* find_mutable_order(local_id order);
    void erase_slot(const slot* s);
    void apply_report(slot& s, const reported_adapter* entry, time_point now,
                      time_point earliest_creation);

    std::size_t capacity_ = 0;
    std::vector<slot> slots_;
};

} // namespace lovagegate::pool

#endif
