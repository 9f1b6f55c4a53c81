#ifndef LOVAGEGATE_GATEWAY_PLACEMENT_HPP
#define LOVAGEGATE_GATEWAY_PLACEMENT_HPP

#include "lovagegate/capacity/engine_memory.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/gateway/service_pace.hpp"
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

/// Describes what a request requires of its target.
struct placement_request
{
    std::string service;
    std::optional<adapter_ref> adapter; ///< model alone: adapter is empty
    /// Start of the prompt; requests that share it use one key.
    std::string prompt_prefix;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< upper bound
    /// Memory of each engine of the service, in tokens; 0 if engines may be
    /// sent more than their memory holds.
    std::uint64_t engine_tokens = 0;
    std::span<const std::string> excluded; ///< ids of targets already tried
    /// The owner of the first choice refused, so another one is made, without
    /// regard to reported loads. The demand isn't counted once more.
    bool chosen_again = false;
};

/// The target chosen for a request.
struct placement_choice
{
    std::string target;
    bool resident = true; ///< the adapter is assumed to be loaded there
    duration
        expected_wait{};  ///< estimated time until the request starts to run
    double load = 0;      ///< requests at the target divided by its slots
    std::size_t rank = 0; ///< index in the rendezvous order of the key
    /// The cost that ruled out the first target of that order; for the log.
    std::string_view first_rank_rejection = "nothing";
};

/// Number of adapters, resident ones included, that an engine is assumed to
/// have in its cache for each of its adapter slots. The platform's engines
/// cache six for each slot, the most recently used ones.
constexpr std::size_t cached_adapters_per_slot = 5;

/// The cost of choosing one target, in thousandths of the cost of a late
/// answer.
struct target_cost
{
    /// Requests at the target and the gaps between their events.
    double crowding = 0;
    /// Share of its streams with gaps over the limit of their route.
    double stalled_streams = 0;
    /// The adapter must be loaded, from the engine cache or the store.
    double load = 0;
    double adapter_slot = 0; ///< few adapter slots are free
    double rank = 0; ///< engines late in the order have not cached the adapter
    double domain = 0;       ///< delay and bytes between failure domains
    double failure = 0;      ///< it failed requests
    double availability = 0; ///< leaving, unreachable, full or refusing loads
    double memory = 0;       ///< no room for the request's tokens

    [[nodiscard]] double sum() const noexcept
    {
        return crowding + stalled_streams + load + adapter_slot + rank +
               domain + failure + availability + memory;
    }

    /// @return name of the component with the largest excess over the other
    ///         cost
    [[nodiscard]] std::string_view
    largest_excess(const target_cost& other) const noexcept;
};

/// Estimates the state of each target and chooses one for each request. The
/// load of a target is the last report of its owner plus the requests that this
/// instance has sent since.
class placement
{
public:
    /// @param own_domain targets of other failure domains get a small extra
    ///        cost
    placement(std::string own_domain, std::uint64_t random_seed);

    /// Called when a request is sent to a target and when it has ended there.
    /// @param tokens of the prompt and, at most, of the answer
    void on_sent(const std::string& target, time_point now,
                 std::uint64_t tokens = 0);
    void on_left(const std::string& target, time_point now);

    /// Called when a target has answered a request.
    /// @param run_time time from sending the request to the end of the answer
    void on_success(const std::string& target, duration run_time);
    /// Called for the first event of a stream.
    /// @param time from sending the request
    void on_first_event(const std::string& target, duration time);
    /// Called for each further event of a stream.
    /// @param gap time since the previous event
    void on_event(const std::string& target, duration gap, time_point now);
    void on_failure(const std::string& target, time_point now);
    void on_unreachable(const std::string& target, time_point now);

    /// Called when a target refuses a request because it is full.
    void on_full(const std::string& target, time_point now);

    /// Applies the load of an engine as its owner reported it.
    void on_load_report(const engine_claim& claim, time_point now);

    /// Applies the number of requests at an engine that its owner has just
    /// told this instance. Load reports by way of other instances don't replace
    /// it for some time, since they are older.
    void on_told_load(const std::string& target, std::uint32_t open,
                      time_point now);

    /// Called when an engine turns out to hold, or not to hold, an adapter.
    void on_resident(const std::string& target, const std::string& adapter,
                     std::uint64_t version, time_point now);
    void on_absent(const std::string& target, const std::string& adapter,
                   time_point now);
    /// Called when the owner of an engine refuses to load an adapter there.
    void on_load_refused(const std::string& target, time_point now);

    /// Applies the adapters that a published entry lists.
    /// @param adapter_slots adapter slots of the engine; zero for plain targets
    void on_published_entry(const target_entry& entry,
                            std::size_t adapter_slots, time_point now);

    /// @return adapters, as MODEL/NAME, that the target is assumed to cache,
    ///         resident or not; the most recently seen come last
    [[nodiscard]] std::vector<std::string>
    cached_adapters(const std::string& target) const;

    void forget(const std::string& target);

    /// @return version of the adapter that is assumed to be loaded there; 0 if
    ///         none is, or its version is unknown
    [[nodiscard]] std::uint64_t held_version(const std::string& target,
                                             std::string_view adapter) const;

    /// @return whether the adapter is assumed to be loaded there, at least at
    ///         the version
    [[nodiscard]] bool is_resident(const std::string& target,
                                   const std::string& adapter,
                                   std::uint64_t version) const;

    /// @return how long streams of a service take for their first event, on
    ///         average over this instance's requests; nothing before the first
    [[nodiscard]] std::optional<duration>
    mean_first_event_time(const std::string& service) const;

    /// @return how long requests to a service run, on average over this
    ///         instance's requests; nothing before the first answer
    [[nodiscard]] std::optional<duration>
    mean_run_time(const std::string& service) const;

    /// @return open requests of this instance at the target
    [[nodiscard]] std::uint32_t open(const std::string& target) const;

    /// @param candidates targets that may be chosen
    /// @param instances number of instances that send to the same targets
    [[nodiscard]] std::optional<placement_choice>
    choose(const placement_request& request,
           std::span<const target_state* const> candidates,
           std::size_t instances, time_point now);

private:
    struct target_stats
    {
        std::string service;
        std::uint32_t open_requests = 0;
        std::uint32_t reported_requests = 0; ///< running and waiting
        std::uint32_t sent_since_report = 0;
        /// 0 to 1; streams with gaps over the limit of their route.
        double stalled_stream_share = 0;
        /// Adapter slots, by the last report.
        std::uint32_t free_adapter_slots = 0;
        /// Loads requested by this instance since the last report.
        std::uint32_t loads_since_report = 0;
        time_point reported_at{};
        std::optional<time_point> load_told_at; ///< by its owner directly
        double failure_share = 0;               ///< moving average, 0 to 1
        time_point unreachable_until{};
        duration unreachable_backoff{};
        time_point full_until{};
        time_point loads_refused_until{};
        std::map<std::string, std::uint64_t, std::less<>> adapters;
        std::map<std::string, time_point, std::less<>> updated_at;
        /// Adapters that the engine may have cached, with the time each was
        /// last seen resident.
        std::map<std::string, time_point, std::less<>> cached_last_seen;
        std::int64_t started_ms = 0;
        double mean_event_gap_ms = 0; ///< moving average
        time_point mean_event_gap_at{};
    };

    /// Exponentially decaying count of requests for one adapter.
    struct key_demand
    {
        double count = 0;
        time_point at{};
    };

    /// @return decayed number of requests of this instance for a key, including
    ///         this one
    /// @param is_new false: the request was counted before
    double record_demand(const std::string& key, bool is_new, time_point now);
    [[nodiscard]] static double crowding_cost(const target_stats& b,
                                              double running, double slots,
                                              time_point now);
    /// @param others estimated open requests of all other instances, used
    ///        where no recent report gives the load
    [[nodiscard]] static double relative_load(const target_stats& b,
                                              std::uint32_t slots,
                                              double others, time_point now);

    /// A target that may be chosen, with its rendezvous weight for the
    /// request's key.
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
    /// @param recent decayed number of requests of all instances for the
    ///        adapter
    /// @return number of engines that the adapter needs
    /// @param run_time mean time that a request runs
    [[nodiscard]] static std::size_t
    home_engine_count(double recent, duration run_time,
                      std::span<const candidate> order);
    [[nodiscard]] static double adapter_slot_cost(const target_stats& b,
                                                  time_point now);
    [[nodiscard]] double availability_cost(const target_state& t,
                                           const target_stats& b, bool resident,
                                           time_point now) const;

    std::string own_domain_;
    capacity::engine_memory memory_;
    std::map<std::string, target_stats> target_stats_;
    std::unordered_map<std::string, service_pace> paces_; ///< by service
    std::unordered_map<std::string, key_demand> demands_;
    std::mt19937_64 random_;
};

} // namespace lovagegate::gateway

#endif
