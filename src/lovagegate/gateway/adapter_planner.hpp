#ifndef LOVAGEGATE_GATEWAY_ADAPTER_PLANNER_HPP
#define LOVAGEGATE_GATEWAY_ADAPTER_PLANNER_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/load_estimate.hpp"
#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// One order to an engine.
struct engine_order
{
    bool load = true;
    std::string model;
    std::string adapter;       ///< empty: the model itself
    std::uint64_t version = 0; ///< 0: the newest
    /// Number of orders that the engine must have accepted: it refuses this one
    /// if there were others.
    std::optional<std::uint64_t> expect{};
};

/// What became of an order.
enum class order_outcome : std::uint8_t
{
    accepted,    ///< being carried out
    already,     ///< holds
    engine_busy, ///< another order is under way, or there were others
    stale_token, ///< the engine has seen a higher token
    refused,     ///< it will not be carried out
    not_sent,    ///< the engine could not be reached
    unknown      ///< no answer: it may have been accepted
};

/// Decides what one engine holds, for the instance that gives it orders: loads
/// what requests wait for and evicts what was not used for longest.
///
/// Reports are some hundred milliseconds old, so the first ones may not show
/// what an earlier owner ordered last. Until the engine has accepted an order,
/// orders go out one by one and name the state that they were decided on.
class adapter_planner
{
public:
    /// @param id of the engine
    /// @param spec what the configuration says of its kind
    adapter_planner(std::string id, engine_spec spec);

    void set_spec(engine_spec spec) { spec_ = std::move(spec); }

    /// Adapters that were seen on the engine before it was this instance's; it
    /// may keep copies of them.
    /// @param names MODEL/NAME, the last seen at the end
    void add_cached_adapters(std::span<const std::string> names);

    /// Takes the engine's own report; nothing is ordered before the first.
    void on_report(const engine_report& report, time_point now);

    /// A newer version of an adapter was published.
    void on_release(const adapter_release& release);

    /// A request waits for an adapter.
    [[nodiscard]] adapter_status require_adapter(const adapter_ref& wanted,
                                                 time_point now);

    /// Requests run on an adapter.
    /// @param name MODEL/NAME
    void on_adapter_used(std::string_view name, time_point now);

    /// Where an adapter stands.
    struct adapter_state
    {
        adapter_status status = adapter_status::loading;
        std::uint64_t version = 0;
    };

    /// @return whether requests may be sent, and on which version they run
    [[nodiscard]] adapter_state look_up(std::string_view model,
                                        std::string_view adapter,
                                        time_point now) const;

    /// @return when the next load should be over, if one is under way
    [[nodiscard]] std::optional<time_point> next_load_ready() const;

    /// A request came back since its adapter was not there yet.
    void on_not_loaded(std::string_view name, time_point now);

    /// @return the next orders, which must be given now
    [[nodiscard]] std::vector<engine_order> plan(time_point now);

    void on_order_done(const engine_order& order, order_outcome outcome,
                       time_point now);

    /// @return whether a report is worth asking for at once
    [[nodiscard]] bool expects_change(time_point now) const;

    [[nodiscard]] const engine_report& report() const noexcept
    {
        return report_;
    }

    /// @return adapters that take a place, in transit or resident
    [[nodiscard]] std::size_t adapter_count() const noexcept
    {
        return slots_.size();
    }

    [[nodiscard]] std::size_t capacity() const;

    /// @return adapters that could be loaded without waiting for runs: places
    ///         that are empty, or whose adapter isn't in use
    [[nodiscard]] std::size_t free_adapter_slots(time_point now) const;

    /// @return loads that are under way
    [[nodiscard]] std::size_t in_transit() const;

private:
    enum class slot_state : std::uint8_t
    {
        loading,
        resident,
        unloading
    };

    struct adapter_slot
    {
        slot_state state = slot_state::loading;
        std::uint64_t version = 0;
        time_point since{}; ///< of the last order
        time_point last_use{};
        bool replacing = false;          ///< a newer version is under way
        bool was_cached = false;         ///< the engine may have kept a copy
        time_point ready_at{};           ///< by estimate, while it is loading
        bool unload_unconfirmed = false; ///< its unload had no answer
    };

    struct pending_load
    {
        adapter_ref wanted;
        time_point since{};
    };

    void remember_cached(const std::string& name);
    [[nodiscard]] bool was_cached(std::string_view name) const;
    void add_reported_adapters(const engine_report& report, time_point now);
    void remove_unreported(const engine_report& report, time_point now);
    void plan_orders(time_point now, std::vector<engine_order>& out);
    void plan_model(std::string_view wanted, time_point now,
                    std::vector<engine_order>& out);
    void plan_replacements(time_point now, std::vector<engine_order>& out);
    void plan_pending_loads(time_point now, std::vector<engine_order>& out);
    bool evict_least_recent(time_point now, std::vector<engine_order>& out);
    [[nodiscard]] bool holds_model(std::string_view model) const;
    [[nodiscard]] double model_weights_mb() const;
    [[nodiscard]] const model_spec*
    find_model_spec(std::string_view model) const;
    [[nodiscard]] std::uint64_t newest(const std::string& name) const;
    [[nodiscard]] bool
    may_order_more(const std::vector<engine_order>& out) const;
    void record_first_outcome(const engine_order& order, order_outcome outcome);

    std::string id_;
    engine_spec spec_;
    engine_report report_;
    bool reported_ = false;
    /// The engine has accepted an order on a state that was known here. From
    /// then on its fence, or the lease, keeps others' orders out.
    bool first_order_accepted_ = false;
    bool first_order_pending_ =
        false; ///< an order before that has no answer yet
    /// Orders that the engine has accepted, as far as is known.
    std::uint64_t order_sequence_ = 0;
    bool sequence_uncertain_ = true; ///< the next report tells
    time_point no_orders_until_{};   ///< the engine refused one
    std::map<std::string, adapter_slot, std::less<>> slots_; ///< by MODEL/NAME
    std::map<std::string, std::uint64_t, std::less<>> newest_versions_;
    std::deque<pending_load> pending_loads_;
    std::map<std::string, time_point, std::less<>> model_ordered_at_;
    load_estimate load_times_;
    /// Adapters that left the engine, the last one first: it may keep copies.
    std::deque<std::string> cached_;
};

/// @return MODEL/NAME
[[nodiscard]] std::string adapter_name(std::string_view model,
                                       std::string_view adapter);

/// Splits NAME@VERSION.
/// @return name and version; version 0 if there is none
[[nodiscard]] std::pair<std::string_view, std::uint64_t>
split_version(std::string_view text);

} // namespace lovagegate::gateway

#endif
