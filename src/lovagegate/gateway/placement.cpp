#include "lovagegate/gateway/placement.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/adapter_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace lovagegate::gateway {

namespace {

// All costs are in thousandths of the cost of a late answer.

/// Price of a load from the weight store.
constexpr double store_load_cost = 300;
/// Delay of a load from the weight store; most latency objectives allow it.
constexpr double store_load_delay_cost = 60;
constexpr double store_load_time_ms = 260;
/// An adapter that the engine has cached loads ten times as fast.
constexpr double cached_load_cost = 15;
constexpr double cached_load_time_ms = 35;
/// Added per rank behind the home engines. The first engines of an adapter's
/// order have probably cached it, and a load from the cache is ten times as
/// fast and reads nothing from the store.
constexpr double cost_per_rank = 150;
constexpr std::size_t max_costed_ranks = 3;
/// Breaks ties so that requests of one key go to the same target.
constexpr double rank_tie_break_cost = 0.5;
/// Without a free adapter slot, a load waits until requests on another adapter
/// have ended.
constexpr double no_free_slot_cost = 500;
constexpr double us_per_ms = 1000;
constexpr double per_mille = 1000;
/// Cost if all streams of a target stall.
constexpr double stalled_streams_cost = 1000;
/// Covers the delay and the priced traffic between failure domains.
constexpr double cross_domain_cost = 20;
constexpr double failure_cost = 1500;     ///< if all requests to it fail
constexpr double last_resort_cost = 4000; ///< leaving targets are chosen last
/// Cost of a target that was recently unreachable or refused loads.
constexpr double unavailable_cost = 3000;
/// Cost of an engine without memory for the request. Higher than all others
/// together, since an engine whose memory overflows loses all its requests.
constexpr double no_memory_cost = 20'000;
/// Cost of a target that recently refused a request as full.
constexpr double recently_full_cost = 300;
/// Random part of the load: keeps instances from all choosing the same target.
constexpr double max_load_jitter = 0.06;
/// Time that a request is assumed to run before any answer has shown it.
constexpr duration initial_run_time = 1500ms;
/// Cost of each request above queueing_load_threshold.
constexpr double cost_per_queued_request = 23;
/// Share of the slots above which the next request may have to wait, since load
/// reports lag.
constexpr double queueing_load_threshold = 0.8;
/// Running requests at which an engine processes the prompts of newly arriving
/// requests without a pause, which delays all its streams.
constexpr double prefill_saturation_requests = 45;
constexpr double prefill_saturation_cost = 200;
/// Event gap above which streams may stall, and the cost of each millisecond
/// above it.
constexpr double max_healthy_gap_ms = 70;
constexpr double cost_per_excess_gap_ms = 1;
/// Weight of one event in the average gap.
constexpr double gap_ewma_weight = 0.1;
/// Time after the last event for which the average gap is valid.
constexpr duration gap_average_ttl = 800ms;
/// Requests that one load of an adapter serves before it is evicted, as a share
/// of its decayed request count.
constexpr duration demand_decay_time = 8s;
constexpr double requests_per_load_ratio = 0.25;
constexpr std::size_t max_demand_entries = 20000;
/// Share of an engine's slots that one adapter should fill; an adapter with
/// more requests gets several home engines.
constexpr double target_home_load = 0.35;
/// Random cost that spreads requests over the home engines. Load reports are up
/// to a second old, so without it all instances would choose the same engine.
constexpr double max_home_jitter_cost = 250;
/// Weight of one answer in the moving average of failures.
constexpr double failure_ewma_weight = 0.25;
constexpr double success_ewma_weight = 0.08;
/// Backoff after a failure to reach a target; doubles with each failure.
constexpr duration initial_unreachable_backoff = 300ms;
constexpr duration max_unreachable_backoff = 3s;
constexpr duration full_backoff = 150ms;
constexpr duration load_refused_backoff = 500ms;
/// Age up to which a load report is used.
constexpr duration report_ttl = 4s;
/// Age of load reports in large fleets, where heartbeats are relayed.
constexpr duration relayed_report_delay = 1s;
/// Time for which a load told by the owner itself is better than none.
constexpr duration told_load_ttl = 300ms;
/// A published entry may still list an adapter for one heartbeat after its
/// unload.
constexpr duration max_entry_lag = 2500ms;
constexpr std::uint64_t rendezvous_seed = 0x706c61;

} // namespace

placement::placement(std::string own_domain, std::uint64_t random_seed)
    : own_domain_(std::move(own_domain)), random_(random_seed)
{
}

void placement::on_sent(const std::string& target, time_point now,
                        std::uint64_t tokens)
{
    target_stats& b = target_stats_[target];
    memory_.on_sent(target, b.service, tokens, now);
    ++b.open_requests;
    ++b.sent_since_report;
    paces_[b.service].on_sent(now);
}

void placement::on_left(const std::string& target, time_point now)
{
    const auto it = target_stats_.find(target);
    if (it == target_stats_.end() || it->second.open_requests == 0)
        return;
    --it->second.open_requests;
    paces_[it->second.service].on_left(now);
}

void placement::on_first_event(const std::string& target, duration time)
{
    paces_[target_stats_[target].service].on_first_event(time);
}

std::optional<duration>
placement::mean_first_event_time(const std::string& service) const
{
    const auto it = paces_.find(service);
    return it == paces_.end() ? std::nullopt
                              : it->second.mean_first_event_time();
}

std::optional<duration>
placement::mean_run_time(const std::string& service) const
{
    const auto it = paces_.find(service);
    return it == paces_.end() ? std::nullopt : it->second.mean_run_time();
}

void placement::on_event(const std::string& target, duration gap,
                         time_point now)
{
    target_stats& b = target_stats_[target];
    const double ms = to_ms(gap);
    b.mean_event_gap_ms =
        now - b.mean_event_gap_at > gap_average_ttl
            ? ms
            : b.mean_event_gap_ms +
                  gap_ewma_weight * (ms - b.mean_event_gap_ms);
    b.mean_event_gap_at = now;
}

double placement::record_demand(const std::string& key, bool is_new,
                                time_point now)
{
    if (demands_.size() >= max_demand_entries)
        std::erase_if(demands_, [&](const auto& d) {
            return now - d.second.at > demand_decay_time;
        });
    key_demand& d = demands_[key];
    const double age = to_seconds(now - d.at) / to_seconds(demand_decay_time);
    d.count = (d.at == time_point{} ? 0 : d.count * std::exp(-age)) +
              (is_new ? 1 : 0);
    d.at = now;
    return d.count;
}

double placement::crowding_cost(const target_stats& b, double running,
                                double slots, time_point now)
{
    double cost = prefill_saturation_cost *
                  (running / prefill_saturation_requests) *
                  (running / prefill_saturation_requests);
    if (running > queueing_load_threshold * slots)
        cost += (running - queueing_load_threshold * slots) *
                cost_per_queued_request;
    if (now - b.mean_event_gap_at < gap_average_ttl)
        cost += cost_per_excess_gap_ms *
                std::max(0.0, b.mean_event_gap_ms - max_healthy_gap_ms);
    return cost;
}

void placement::on_success(const std::string& target, duration run_time)
{
    target_stats& b = target_stats_[target];
    paces_[b.service].on_answer(run_time);
    b.failure_share *= 1 - success_ewma_weight;
    b.unreachable_backoff = {};
}

void placement::on_failure(const std::string& target, time_point)
{
    target_stats& b = target_stats_[target];
    b.failure_share += failure_ewma_weight * (1 - b.failure_share);
}

void placement::on_unreachable(const std::string& target, time_point now)
{
    target_stats& b = target_stats_[target];
    if (now < b.unreachable_until)
        return;
    b.unreachable_backoff = std::clamp<duration>(2 * b.unreachable_backoff,
                                                 initial_unreachable_backoff,
                                                 max_unreachable_backoff);
    b.unreachable_until = now + b.unreachable_backoff;
}

void placement::on_full(const std::string& target, time_point now)
{
    target_stats_[target].full_until = now + full_backoff;
}

void placement::on_load_report(const engine_claim& claim, time_point now)
{
    memory_.on_report(claim, now);
    target_stats& b = target_stats_[claim.engine];
    b.reported_at = now;
    if (!b.load_told_at || now - *b.load_told_at >= relayed_report_delay) {
        b.reported_requests = claim.running + claim.waiting;
        b.sent_since_report = 0;
    }
    b.stalled_stream_share = claim.halting_permille / per_mille;
    b.free_adapter_slots = claim.free_adapter_slots;
    b.loads_since_report = 0;
}

void placement::on_told_load(const std::string& target, std::uint32_t open,
                             time_point now)
{
    target_stats& b = target_stats_[target];
    b.reported_requests = open;
    b.sent_since_report = 0;
    b.load_told_at = now;
}

void placement::on_resident(const std::string& target,
                            const std::string& adapter, std::uint64_t version,
                            time_point now)
{
    target_stats& b = target_stats_[target];
    b.adapters[adapter] = version;
    b.updated_at[adapter] = now;
    b.cached_last_seen[adapter] = now;
}

void placement::on_absent(const std::string& target, const std::string& adapter,
                          time_point now)
{
    target_stats& b = target_stats_[target];
    b.adapters.erase(adapter);
    b.updated_at[adapter] = now;
}

void placement::on_load_refused(const std::string& target, time_point now)
{
    target_stats_[target].loads_refused_until = now + load_refused_backoff;
}

void placement::trim_cached_adapters(target_stats& b, std::size_t adapter_slots)
{
    const std::size_t most = cached_adapters_per_slot * adapter_slots;
    while (b.cached_last_seen.size() > most) {
        const auto oldest = std::ranges::min_element(
            b.cached_last_seen, {},
            [](const auto& copy) { return copy.second; });
        b.cached_last_seen.erase(oldest);
    }
}

std::vector<std::string>
placement::cached_adapters(const std::string& target) const
{
    const auto b = target_stats_.find(target);
    if (b == target_stats_.end())
        return {};
    std::vector<std::pair<time_point, std::string>> by_age;
    by_age.reserve(b->second.cached_last_seen.size());
    for (const auto& [name, seen] : b->second.cached_last_seen)
        by_age.emplace_back(seen, name);
    std::ranges::sort(by_age);
    std::vector<std::string> out;
    out.reserve(by_age.size());
    for (auto& [seen, name] : by_age)
        out.push_back(std::move(name));
    return out;
}

void placement::on_published_entry(const target_entry& entry,
                                   std::size_t adapter_slots, time_point now)
{
    target_stats& b = target_stats_[entry.id];
    if (b.started_ms != entry.started_ms) {
        const auto open = b.open_requests;
        memory_.forget(entry.id);
        b = {};
        b.open_requests = open;
        b.started_ms = entry.started_ms;
    }
    if (b.open_requests == 0)
        b.service = entry.service;
    std::map<std::string, std::uint64_t, std::less<>> listed;
    for (const auto& m : entry.models)
        for (const auto& text : m.adapters) {
            const auto [name, version] = split_version(text);
            listed[adapter_name(m.name, name)] = version;
        }
    // Recent updates from the owner are newer than the entry.
    std::erase_if(b.updated_at, [&](const auto& known) {
        return now - known.second > max_entry_lag;
    });
    std::erase_if(b.adapters, [&](const auto& a) {
        return !b.updated_at.contains(a.first) && !listed.contains(a.first);
    });
    for (const auto& [name, version] : listed) {
        b.cached_last_seen[name] = now;
        if (!b.updated_at.contains(name))
            b.adapters[name] = version;
    }
    trim_cached_adapters(b, adapter_slots);
}

void placement::forget(const std::string& target)
{
    target_stats_.erase(target);
    memory_.forget(target);
}

std::uint64_t placement::held_version(const std::string& target,
                                      std::string_view adapter) const
{
    const auto b = target_stats_.find(target);
    if (b == target_stats_.end())
        return 0;
    const auto a = b->second.adapters.find(adapter);
    return a == b->second.adapters.end() ? 0 : a->second;
}

bool placement::is_resident(const std::string& target,
                            const std::string& adapter,
                            std::uint64_t version) const
{
    const auto b = target_stats_.find(target);
    if (b == target_stats_.end())
        return false;
    const auto a = b->second.adapters.find(adapter);
    return a != b->second.adapters.end() && a->second >= version;
}

std::uint32_t placement::open(const std::string& target) const
{
    const auto it = target_stats_.find(target);
    return it == target_stats_.end() ? 0 : it->second.open_requests;
}

double placement::relative_load(const target_stats& b, std::uint32_t slots,
                                double others, time_point now)
{
    const double all = slots == 0 ? 1 : slots;
    const time_point known_at =
        std::max(b.reported_at, b.load_told_at.value_or(time_point{}));
    const bool fresh = now - known_at < report_ttl && known_at != time_point{};
    const double own = b.open_requests;
    const double requests =
        fresh ? static_cast<double>(b.reported_requests) + b.sent_since_report
              : own + others;
    return std::max(requests, own) / all;
}

std::string_view
target_cost::largest_excess(const target_cost& other) const noexcept
{
    const std::array<std::pair<double, std::string_view>, 9> parts{{
        {crowding - other.crowding, "crowding"},
        {stalled_streams - other.stalled_streams, "halting"},
        {load - other.load, "load"},
        {adapter_slot - other.adapter_slot, "place"},
        {rank - other.rank, "rank"},
        {domain - other.domain, "domain"},
        {failure - other.failure, "failure"},
        {availability - other.availability, "standing"},
        {memory - other.memory, "memory"},
    }};
    return std::ranges::max_element(parts)->second;
}

std::vector<placement::candidate>
placement::rank_targets(const placement_request& request,
                        const std::string& key,
                        std::span<const target_state* const> candidates)
{
    const auto key_hash = stable_hash(key, rendezvous_seed);
    std::vector<candidate> order;
    for (const target_state* t : candidates)
        if (std::ranges::find(request.excluded, t->entry.id) ==
            request.excluded.end())
            order.push_back(
                {t, combine_hash(key_hash,
                                 stable_hash(t->entry.id, rendezvous_seed))});
    std::ranges::sort(order, std::greater<>(), &candidate::weight);
    return order;
}

std::size_t placement::home_engine_count(double recent, duration run_time,
                                         std::span<const candidate> order)
{
    if (order.empty())
        return 0;
    const double slots = std::max(1U, order.front().target->entry.slots);
    const double running = recent * to_ms(run_time) /
                           to_ms(demand_decay_time); // concurrent requests
    const auto home_count = static_cast<std::size_t>(
        std::ceil(running / (slots * target_home_load)));
    return std::clamp<std::size_t>(home_count, 1, order.size());
}

double placement::adapter_slot_cost(const target_stats& b, time_point now)
{
    if (now - b.reported_at >= report_ttl)
        return 0;
    const double left = b.free_adapter_slots > b.loads_since_report
                            ? b.free_adapter_slots - b.loads_since_report
                            : 0;
    return no_free_slot_cost / (1 + left);
}

double placement::availability_cost(const target_state& t,
                                    const target_stats& b, bool resident,
                                    time_point now) const
{
    double cost = 0;
    if (!resident && now < b.loads_refused_until)
        cost += unavailable_cost;
    if (t.use(now) == target_use::last_resort)
        cost += last_resort_cost;
    if (now < b.unreachable_until)
        cost += unavailable_cost;
    if (now < b.full_until)
        cost += recently_full_cost;
    return cost;
}

std::optional<placement_choice>
placement::choose(const placement_request& request,
                  std::span<const target_state* const> candidates,
                  std::size_t instances, time_point now)
{
    const bool needs_adapter =
        request.adapter && !request.adapter->adapter.empty();
    const std::string adapter =
        needs_adapter
            ? adapter_name(request.adapter->model, request.adapter->adapter)
            : std::string();
    const std::string& key = needs_adapter ? adapter : request.prompt_prefix;
    const auto order = rank_targets(request, key, candidates);
    // Only earlier requests say something about those at other instances: one
    // request for an idle adapter is one in the whole fleet.
    const double others_recent =
        needs_adapter
            ? (record_demand(adapter, !request.chosen_again, now) - 1) *
                  static_cast<double>(instances)
            : 0;
    const double expected_uses = others_recent * requests_per_load_ratio;
    const service_pace& pace = paces_[request.service];
    const auto run_time = pace.mean_run_time();
    // Callers reach instances by chance, so each other instance is assumed to
    // have as many requests open as this one has on average.
    const double others =
        pace.mean_open(now) * static_cast<double>(instances - 1) /
        static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    const std::size_t home_count = home_engine_count(
        others_recent + 1, run_time.value_or(initial_run_time), order);
    std::optional<placement_choice> best;
    target_cost first_cost;
    target_cost best_cost;
    std::uniform_real_distribution<double> load_jitter(0, max_load_jitter);
    std::uniform_real_distribution<double> assumed_load(
        0, queueing_load_threshold);
    std::uniform_real_distribution<double> home_jitter(0, max_home_jitter_cost);
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const target_state& t = *order[rank].target;
        const target_stats& b = target_stats_[t.entry.id];
        const double slots = t.entry.slots;
        const double load = relative_load(b, t.entry.slots, others, now);
        const double running = (load + load_jitter(random_)) * slots;
        const bool resident =
            !needs_adapter ||
            is_resident(t.entry.id, adapter, request.adapter->version);
        // After a refusal, reports mislead: the engines that seem to be next
        // are the same for all instances.
        const bool told =
            b.load_told_at && now - *b.load_told_at < told_load_ttl;
        const double apparent = request.chosen_again && !told
                                    ? assumed_load(random_) * slots
                                    : running;
        double wait = 0;
        if (running > slots && run_time)
            wait = (running - slots) / slots * to_ms(*run_time);
        target_cost cost;
        cost.crowding = crowding_cost(b, apparent, slots, now);
        if (now - b.reported_at < report_ttl)
            cost.stalled_streams =
                stalled_streams_cost * b.stalled_stream_share;
        if (!resident)
            cost.adapter_slot = adapter_slot_cost(b, now);
        if (!resident && b.cached_last_seen.contains(adapter)) {
            wait += cached_load_time_ms;
            cost.load = cached_load_cost;
        } else if (!resident) {
            wait += store_load_time_ms;
            cost.load =
                store_load_delay_cost + store_load_cost / (1 + expected_uses);
            const std::size_t apart =
                rank < home_count ? 0 : rank + 1 - home_count;
            cost.rank = cost_per_rank *
                        static_cast<double>(std::min(apart, max_costed_ranks));
        }
        if (home_count > 1 && rank < home_count)
            cost.rank += home_jitter(random_);
        else if (!key.empty())
            cost.rank += rank_tie_break_cost * static_cast<double>(rank);
        if (t.entry.failure_domain != own_domain_)
            cost.domain = cross_domain_cost;
        cost.failure = failure_cost * b.failure_share;
        cost.availability = availability_cost(t, b, resident, now);
        if (request.engine_tokens > 0 &&
            !memory_.has_room(
                t.entry.id, request.service,
                {std::uint64_t{request.prompt_tokens} + request.output_tokens,
                 request.engine_tokens, t.entry.slots},
                now))
            cost.memory = no_memory_cost;
        if (rank == 0)
            first_cost = cost;
        if (best && cost.sum() >= best_cost.sum())
            continue;
        best_cost = cost;
        best = placement_choice{
            t.entry.id,
            resident,
            duration(static_cast<duration::rep>(wait * us_per_ms)),
            load,
            rank,
            {}};
    }
    if (best && !best->resident)
        ++target_stats_[best->target].loads_since_report;
    if (best)
        best->first_rank_rejection =
            best->rank == 0 ? "nothing" : first_cost.largest_excess(best_cost);
    return best;
}

} // namespace lovagegate::gateway
