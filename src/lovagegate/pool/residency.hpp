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

/// Before every other time.
inline constexpr time_point never = time_point::min();

enum class slot_state : std::uint8_t
{
    ready,     ///< the engine holds the adapter
    loading,   ///< a load was ordered
    unloading, ///< an unload was ordered
    uncertain, ///< an order's end is unknown; a later report tells
};

/// One adapter on one engine, as far as the owner knows.
struct slot
{
    adapter_key adapter = no_adapter;
    slot_state state = slot_state::ready;
    local_id order = 0;                    ///< in flight, or the last one
    adapter_key next_adapter = no_adapter; ///< is loaded after the unload
    time_point state_since = never;        ///< of the state
    time_point loaded_at = never;          ///< when the owner saw the load done
    time_point last_confirmed_end = never; ///< last lease that provably ended
    /// Last lease that ended without proof that the engine is done with it.
    time_point last_unconfirmed_end = never;
    time_point last_idle_report = never; ///< arrival of the last: nothing runs
    time_point last_busy_report =
        never; ///< arrival of the last: something runs
};

/// One adapter of an engine's report.
struct reported_adapter
{
    adapter_key adapter = no_adapter;
    bool busy = false; ///< requests run or wait on it
};

/// What one engine holds: own orders joined with lagging reports.
class residency
{
public:
    /// @param capacity adapters that the engine holds at once
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

    /// @return the slot that holds or loads the adapter; nullptr if none
    [[nodiscard]] const slot* find(adapter_key adapter) const;
    [[nodiscard]] bool holds(adapter_key adapter) const;
    [[nodiscard]] bool has_pending_load(adapter_key adapter) const;

    /// Takes a free slot for a load.
    void begin_load(adapter_key adapter, local_id order, time_point now);
    /// Turns the victim's slot into an unload that a load follows.
    void begin_unload(adapter_key victim, adapter_key next, local_id order,
                      time_point now);
    /// The unload is done: the slot loads its next adapter.
    /// @return the next adapter; no_adapter if none was wanted
    adapter_key follow_unload(local_id order, local_id next_order,
                              time_point now);
    /// @return the slot with the order in flight; nullptr if there is none
    [[nodiscard]] const slot* find_order(local_id order) const;

    void load_done(local_id order, time_point now);
    /// The order failed: a load leaves the slot free, an unload leaves the
    /// adapter where it is.
    void order_failed(local_id order, time_point now);
    /// The order's end is not known.
    void order_unknown(local_id order, time_point now);

    void lease_ended(adapter_key adapter, bool confirmed, time_point now);
    /// The engine says that it does not hold the adapter.
    void remove(adapter_key adapter);
    /// The engine restarted.
    void clear() { slots_.clear(); }

    /// Takes a report over; slots whose state changed after the report may
    /// have been made are left alone.
    /// @param report all adapters that the engine says it holds
    /// @param now arrival of the report
    /// @param report_lag greatest age of a report's content
    void reconcile(std::span<const reported_adapter> report, time_point now,
                   duration report_lag);

    /// Orders that have been in flight for longer than the timeout.
    [[nodiscard]] std::vector<local_id> overdue(time_point now,
                                                duration timeout) const;
    /// @return loads and unloads in flight
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
