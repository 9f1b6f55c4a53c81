#ifndef LOVAGEGATE_GATEWAY_ADAPTER_PLANNER_HPP
#define LOVAGEGATE_GATEWAY_ADAPTER_PLANNER_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/adapter_users.hpp"
#include "lovagegate/gateway/load_estimate.hpp"
#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/gateway/report_age.hpp"
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

/// A load or unload order to an engine.
struct engine_order
{
    bool load = true;
    std::string model;
    std::string adapter;       ///< empty: the model itself
    std::uint64_t version = 0; ///< 0: the newest
    /// Number of orders that the engine must have accepted so far; with any
    /// other number it refuses this one.
    std::optional<std::uint64_t> expect{};
};

/// Result of an order.
enum class order_outcome : std::uint8_t
{
    accepted,    ///< in progress
    already,     ///< the engine is already in the wanted state
    engine_busy, ///< another order is in progress, or `expect` does not match
    stale_token, ///< the engine has seen a higher token
    refused,     ///< the engine refused it for another reason
    not_sent,    ///< the engine could not be reached
    unknown      ///< no answer: it may have been accepted
};

/// Plans the load and unload orders of one engine for the instance that owns
/// it. Loads the adapters that requests wait for and evicts the least recently
/// used.
///
/// Reports are some hundred milliseconds old, so the first ones may not show
/// the last orders of an earlier owner. Until the engine has accepted an order,
/// orders are sent one at a time, each with the number of accepted orders that
/// it was planned for.
class adapter_planner
{
public:
    /// @param id of the engine
    /// @param spec configuration of the engine
    adapter_planner(std::string id, engine_spec spec);

    /// Sets whether each order names the number of orders that the engine must
    /// have accepted, not only those before the first accepted one, because
    /// other instances may send orders, too.
    void set_others_may_order(bool others) { others_may_order_ = others; }

    void set_spec(engine_spec spec) { spec_ = std::move(spec); }

    /// Adds adapters that were resident before this instance owned the engine;
    /// the engine may have cached them.
    /// @param names MODEL/NAME, the most recently seen last
    void add_cached_adapters(std::span<const std::string> names);

    /// Applies a report of the engine. No orders are planned before the first.
    void on_report(const engine_report& report, time_point now);

    /// Called when a newer version of an adapter is published.
    void on_release(const adapter_release& release);

    /// Called when a request needs an adapter. Plans a load if it is missing.
    /// @param until time after which the request needs it no longer
    [[nodiscard]] adapter_status
    require_adapter(const adapter_ref& wanted, time_point now,
                    time_point until = time_point::max());

    /// Called when no request waits for an adapter any more: a load of it that
    /// was not ordered yet is dropped.
    void withdraw_load(const adapter_ref& wanted);

    /// Called when an instance reports which adapters have open requests.
    /// @param instance address of the instance, empty for this one
    /// @param names MODEL/NAME of all of them
    /// @return whether a slot may have become free for a waiting load
    bool on_usage(std::string_view instance, std::span<const std::string> names,
                  time_point now);

    /// Called when a request is told to use an adapter. The adapter counts as
    /// used until the instance of the request can have reported it.
    void on_granted(std::string_view name, time_point now);

    /// Status of an adapter and its version.
    struct adapter_state
    {
        adapter_status status = adapter_status::loading;
        std::uint64_t version = 0;
    };

    /// @return whether requests may be sent, and the version that they run on
    [[nodiscard]] adapter_state look_up(std::string_view model,
                                        std::string_view adapter,
                                        time_point now) const;

    /// @return estimated end of the next load, if one is in progress
    [[nodiscard]] std::optional<time_point> next_load_ready() const;

    /// Called when the engine returned a request because its adapter was not
    /// loaded yet.
    void on_not_loaded(std::string_view name, time_point now);

    /// @return the next orders, which the caller must send at once
    [[nodiscard]] std::vector<engine_order> plan(time_point now);

    void on_order_done(const engine_order& order, order_outcome outcome,
                       time_point now);

    /// @return whether a new report is expected to show a change
    [[nodiscard]] bool expects_change(time_point now) const;

    [[nodiscard]] const engine_report& report() const noexcept
    {
        return report_;
    }

    /// @return adapters that occupy a slot: loading, resident or unloading
    [[nodiscard]] std::size_t adapter_count() const noexcept
    {
        return slots_.size();
    }

    [[nodiscard]] std::size_t capacity() const;

    /// @return adapters that could be loaded without waiting for requests to
    ///         end: slots that are empty or whose adapter isn't in use
    [[nodiscard]] std::size_t free_adapter_slots(time_point now) const;

    /// @return loads in progress
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
        time_point since{}; ///< time of the last order
        time_point last_use{};
        bool replacing = false;  ///< a newer version is being loaded
        bool was_cached = false; ///< the engine may have cached it
        time_point ready_at{};   ///< estimated end of the load, while loading
        bool unload_unconfirmed = false; ///< the unload order was not answered
        time_point granted_at{}; ///< when a request was last told to use it
        /// Instances report their use of it to this owner. Until then the
        /// adapter may have requests that only the earlier owner knew.
        bool use_known = false;
        bool accepted = false; ///< the engine has accepted the order to load
        bool reported = false; ///< a report has shown the load
    };

    struct pending_load
    {
        adapter_ref wanted;
        time_point since{};
        time_point until{};
    };

    void remember_cached(const std::string& name);
    void on_unloaded(const std::string& name, time_point now);
    /// @return whether reports may still list an adapter that was unloaded
    [[nodiscard]] bool was_just_unloaded(std::string_view name,
                                         time_point now) const;
    [[nodiscard]] bool was_cached(std::string_view name) const;
    /// Reduces the slots to what a report shows. While the engine has accepted
    /// no order of this owner, that is the state which the next order, with the
    /// report's number of orders, must be planned for.
    void discard_unreported_state(const engine_report& report);
    void add_reported_adapters(const engine_report& report, time_point now);
    void remove_unreported(const engine_report& report, time_point now);
    void plan_orders(time_point now, std::vector<engine_order>& out);
    void plan_model(std::string_view wanted, time_point now,
                    std::vector<engine_order>& out);
    void plan_replacements(time_point now, std::vector<engine_order>& out);
    void plan_pending_loads(time_point now, std::vector<engine_order>& out);
    [[nodiscard]] bool is_in_use(const std::string& name, const adapter_slot& p,
                                 time_point now) const;
    void evict_least_recent(time_point now, std::vector<engine_order>& out);
    [[nodiscard]] bool holds_model(std::string_view model) const;
    [[nodiscard]] double model_weights_mb() const;
    [[nodiscard]] const model_spec*
    find_model_spec(std::string_view model) const;
    [[nodiscard]] std::uint64_t newest(const std::string& name) const;
    /// @return whether orders are sent one at a time and with the number
    [[nodiscard]] bool names_numbers() const
    {
        return others_may_order_ || !first_order_accepted_;
    }
    [[nodiscard]] bool
    may_order_more(const std::vector<engine_order>& out) const;
    void record_first_outcome(const engine_order& order, order_outcome outcome);

    std::string id_;
    engine_spec spec_;
    engine_report report_;
    bool reported_ = false;
    bool others_may_order_ = false;
    /// The engine has accepted an order that was planned for its current state.
    /// From then on its fencing token, or the lease, excludes orders of other
    /// instances.
    bool first_order_accepted_ = false;
    /// An order that was sent before the first accepted one is unanswered.
    bool first_order_pending_ = false;
    /// Number of orders that the engine is known to have accepted.
    std::uint64_t order_sequence_ = 0;
    bool sequence_uncertain_ = true; ///< until the next report
    time_point no_orders_until_{};   ///< backoff after a refused order
    std::map<std::string, adapter_slot, std::less<>> slots_; ///< by MODEL/NAME
    std::map<std::string, std::uint64_t, std::less<>> newest_versions_;
    /// Unloaded adapters that reports may still list, by the time of the
    /// answer to the order.
    std::map<std::string, time_point, std::less<>> unloaded_at_;
    adapter_users users_;
    std::deque<pending_load> pending_loads_;
    std::map<std::string, time_point, std::less<>> model_ordered_at_;
    load_estimate load_times_;
    report_age report_age_;
    /// Unloaded adapters that the engine may have cached, most recent first.
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
