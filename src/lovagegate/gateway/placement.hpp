#ifndef LOVAGEGATE_GATEWAY_PLACEMENT_HPP
#define LOVAGEGATE_GATEWAY_PLACEMENT_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/gateway/site_config.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagegate::gateway {

/// What a request needs of its target.
struct placement_request
{
    std::string service;
    std::optional<adapter_ref> adapter; ///< model alone: adapter is empty
    std::string first_part;             ///< of the prompt, shared with others
    std::uint32_t prompt_tokens = 0;
    std::span<const std::string> excluded; ///< ids of targets already tried
};

/// Where a request goes.
struct placement_choice
{
    std::string target;
    bool resident = true;     ///< the adapter is believed to be there
    duration expected_wait{}; ///< to the start of the run, by estimate
    double load = 0;          ///< requests there over its slots
    std::size_t rank = 0;     ///< place in the order of the key's targets
    /// What ruled the target out that comes first in that order; for the log.
    std::string_view first_rank_rejection = "nothing";
};

/// Copies of adapters that an engine is taken to keep, resident or not, for
/// each of its places: the users' engines keep six, those used last.
constexpr std::size_t cached_adapters_per_slot = 5;

/// What speaks against one target, in thousandths of what a late answer loses.
struct target_cost
{
    double crowding = 0; ///< requests there, and the pace of their events
    double stalled_streams = 0; ///< its streams pause too long
    double load = 0; ///< the adapter is to be loaded, from a copy or not
    double adapter_slot = 0; ///< few places for adapters are free
    double rank = 0;         ///< engines further down have no copy of it
    double domain = 0;       ///< delay and bytes between failure domains
    double failure = 0;      ///< it failed requests
    double availability = 0; ///< leaving, unreachable, full or taking no loads

    [[nodiscard]] double sum() const noexcept
    {
        return crowding + stalled_streams + load + adapter_slot + rank +
               domain + failure + availability;
    }

    /// @return name of the part by which this cost exceeds another most
    [[nodiscard]] std::string_view
    largest_excess(const target_cost& other) const noexcept;
};

/// What this instance believes of each target, and the choice among them. Load
/// comes from reports of the instances that poll, and from own sends since.
class placement
{
public:
    /// @param own_domain targets of other failure domains cost a little more
    placement(std::string own_domain, std::uint64_t random_seed);

    /// A request was sent to or has left a target.
    void on_sent(const std::string& target, time_point now);
    void on_left(const std::string& target);

    /// A target answered, or failed to.
    void on_success(const std::string& target);
    /// A stream made an event.
    /// @param gap since the event before
    void on_event(const std::string& target, duration gap, time_point now);
    void on_failure(const std::string& target, time_point now);
    void on_unreachable(const std::string& target, time_point now);

    /// A target refused a request since it is full.
    void on_full(const std::string& target, time_point now);

    /// The load of an engine as its owner heard it.
    void on_load_report(const engine_claim& claim, time_point now);

    /// An engine holds or lacks an adapter.
    void on_resident(const std::string& target, const std::string& adapter,
                     std::uint64_t version, time_point now);
    void on_absent(const std::string& target, const std::string& adapter,
                   time_point now);
    /// The owner can't load there at present.
    void on_load_refused(const std::string& target, time_point now);

    /// Takes what a published entry lists.
    /// @param adapter_slots of the engine; zero for plain targets
    void on_published_entry(const target_entry& entry,
                            std::size_t adapter_slots, time_point now);

    /// @return adapters, as MODEL/NAME, of which the target is believed to
    ///         keep copies, resident or not; the last seen come last
    [[nodiscard]] std::vector<std::string>
    cached_adapters(const std::string& target) const;

    void forget(const std::string& target);

    /// @return whether the adapter is believed to be there, at least at the
    ///         version
    [[nodiscard]] bool is_resident(const std::string& target,
                                   const std::string& adapter,
                                   std::uint64_t version) const;

    /// @return requests of this instance at the target
    [[nodiscard]] std::uint32_t open(const std::string& target) const;

    /// @param candidates targets that may get work
    /// @param instances that send to the same targets
    [[nodiscard]] std::optional<placement_choice>
    choose(const placement_request& request,
           std::span<const target_state* const> candidates,
           std::size_t instances, time_point now);

private:
    struct target_stats
    {
        std::uint32_t open_requests = 0;
        std::uint32_t reported_requests = 0; ///< running and waiting
        std::uint32_t sent_since_report = 0;
        double stalled_stream_share =
            0; ///< share of its streams that pause too long
        std::uint32_t free_adapter_slots = 0; ///< for adapters
        std::uint32_t loads_since_report =
            0; ///< own ones, since the last claim
        time_point reported_at{};
        double failure_share = 0; ///< moving average, 0 to 1
        time_point unreachable_until{};
        duration unreachable_backoff{};
        time_point full_until{};
        time_point loads_refused_until{};
        std::map<std::string, std::uint64_t, std::less<>> adapters;
        std::map<std::string, time_point, std::less<>> updated_at;
        /// Adapters that were there, by when they were last seen.
        std::map<std::string, time_point, std::less<>> cached_last_seen;
        std::int64_t started_ms = 0;
        double mean_event_gap_ms =
            0; ///< moving average of the gaps between events
        time_point mean_event_gap_at{};
    };

    /// Requests for one adapter or shared prompt, decaying over time.
    struct key_demand
    {
        double count = 0;
        time_point at{};
    };

    /// @return recent requests of this instance for a key, with this one
    double record_demand(const std::string& key, time_point now);
    [[nodiscard]] static double crowding_cost(const target_stats& b,
                                              double running, double slots,
                                              time_point now);
    [[nodiscard]] double relative_load(const target_stats& b,
                                       std::uint32_t slots,
                                       std::size_t instances,
                                       time_point now) const;

    /// A target that may be chosen, with its weight for the request's key.
    struct candidate
    {
        const target_state* target;
        std::uint64_t weight;
    };

    [[nodiscard]] static std::vector<candidate>
    rank_targets(const placement_request& request, const std::string& key,
                 std::span<const target_state* const> candidates);
    static void trim_cached_adapters(target_stats& b,
                                     std::size_t adapter_slots);
    /// @param recent requests of all instances for the adapter
    /// @return engines that the adapter needs
    [[nodiscard]] static std::size_t
    home_engine_count(double recent, std::span<const candidate> order);
    [[nodiscard]] static double adapter_slot_cost(const target_stats& b,
                                                  time_point now);
    [[nodiscard]] double availability_cost(const target_state& t,
                                           const target_stats& b, bool resident,
                                           time_point now) const;

    std::string own_domain_;
    std::map<std::string, target_stats> target_stats_;
    std::unordered_map<std::string, key_demand> demands_;
    std::mt19937_64 random_;
};

} // namespace lovagegate::gateway

#endif
