#include "lovagegate/gateway/placement.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/engine_keeper.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace lovagegate::gateway {

namespace {

/// Costs are in thousandths of what a late answer loses.
constexpr double load_cost = 300;     ///< an adapter from the store, priced
constexpr double load_wait_cost = 60; ///< its wait, within most objectives
constexpr double load_wait_ms = 260;
/// An adapter of which the engine keeps a copy loads ten times as fast.
constexpr double copy_load_cost = 15;
constexpr double copy_wait_ms = 35;
/// The first engines in an adapter's order have had it before: they keep a
/// copy, which loads ten times as fast and costs nothing.
constexpr double rank_cost = 150;
constexpr std::size_t ranks_apart = 3;
/// Keeps requests of one key together where all else is equal.
constexpr double rank_order_cost = 0.5;
/// An adapter waits for the end of runs where no place is free.
constexpr double no_place_cost = 500;
constexpr double us_per_ms = 1000;
constexpr double per_mille = 1000;
constexpr double halting_cost = 1000;     ///< of an answer that is late surely
constexpr double other_domain_cost = 20;  ///< delay, and bytes that are priced
constexpr double failure_cost = 1500;     ///< of a request that fails surely
constexpr double last_resort_cost = 4000; ///< leaving targets come last
constexpr double avoid_cost = 3000;       ///< unreachable a moment ago
constexpr double full_cost = 300;         ///< refused a request a moment ago
constexpr double noise = 0.06;            ///< of the load, so none herds
constexpr double mean_run_ms = 1500;      ///< a slot of a full engine is held
/// Of each request above the busy part.
constexpr double queued_cost = 23;
/// Part of the slots from which the next request may have to wait: reports of
/// load are late.
constexpr double busy_part = 0.8;
/// Running requests at which the prompts of those that arrive meanwhile keep
/// an engine reading without a pause, so that all its streams are late.
constexpr double crowded = 45;
constexpr double crowded_cost = 200;
/// Gap between events from which streams are at risk, and what each further
/// millisecond costs.
constexpr double calm_gap_ms = 70;
constexpr double gap_cost = 1;
/// Weight of one event in the average gap.
constexpr double gap_weight = 0.1;
/// An average without events for so long says nothing.
constexpr duration gap_keeps = 800ms;
/// Requests that a copy of an adapter serves before it is evicted, as a part
/// of those of the last seconds.
constexpr duration demand_time = 8s;
constexpr double demand_share = 0.25;
constexpr std::size_t most_demands = 20000;
/// Part of an engine's slots that one adapter is meant to fill; those with more
/// requests have several engines as their first ones.
constexpr double home_fill = 0.35;
/// Chooses among these engines: what is known of their load is a second old,
/// so that all instances would take the same one.
constexpr double spread_cost = 250;
/// Weight of one answer in the share of failures.
constexpr double failure_weight = 0.25;
constexpr double success_weight = 0.08;
/// A target that could not be reached is left alone, longer each time.
constexpr duration first_avoidance = 300ms;
constexpr duration longest_avoidance = 3s;
constexpr duration full_for = 150ms;
constexpr duration no_loads_for = 500ms;
/// A report that is older says nothing.
constexpr duration report_keeps = 4s;
/// An entry is written after the adapter left, at worst one heartbeat later.
constexpr duration entry_lag = 2500ms;
constexpr std::uint64_t place_seed = 0x706c61;

} // namespace

placement::placement(std::string own_domain, std::uint64_t random_seed)
    : own_domain_(std::move(own_domain)), random_(random_seed)
{
}

void placement::on_sent(const std::string& target, time_point)
{
    belief& b = beliefs_[target];
    ++b.open;
    ++b.sent_since;
}

void placement::on_left(const std::string& target)
{
    const auto it = beliefs_.find(target);
    if (it != beliefs_.end() && it->second.open > 0)
        --it->second.open;
}

void placement::on_event(const std::string& target, duration gap,
                         time_point now)
{
    belief& b = beliefs_[target];
    const double ms = to_ms(gap);
    b.pace_ms = now - b.pace_at > gap_keeps
                    ? ms
                    : b.pace_ms + gap_weight * (ms - b.pace_ms);
    b.pace_at = now;
}

double placement::count_demand(const std::string& key, time_point now)
{
    if (demands_.size() >= most_demands)
        std::erase_if(demands_, [&](const auto& d) {
            return now - d.second.at > demand_time;
        });
    demand& d = demands_[key];
    const double age = to_seconds(now - d.at) / to_seconds(demand_time);
    d.count = (d.at == time_point{} ? 0 : d.count * std::exp(-age)) + 1;
    d.at = now;
    return d.count;
}

double placement::crowding_cost(const belief& b, double running, double slots,
                                time_point now)
{
    double cost = crowded_cost * (running / crowded) * (running / crowded);
    if (running > busy_part * slots)
        cost += (running - busy_part * slots) * queued_cost;
    if (now - b.pace_at < gap_keeps)
        cost += gap_cost * std::max(0.0, b.pace_ms - calm_gap_ms);
    return cost;
}

void placement::on_success(const std::string& target)
{
    belief& b = beliefs_[target];
    b.failure_share *= 1 - success_weight;
    b.avoid_for = {};
}

void placement::on_failure(const std::string& target, time_point)
{
    belief& b = beliefs_[target];
    b.failure_share += failure_weight * (1 - b.failure_share);
}

void placement::on_unreachable(const std::string& target, time_point now)
{
    belief& b = beliefs_[target];
    if (now < b.avoid_until)
        return;
    b.avoid_for = std::clamp<duration>(2 * b.avoid_for, first_avoidance,
                                       longest_avoidance);
    b.avoid_until = now + b.avoid_for;
}

void placement::on_full(const std::string& target, time_point now)
{
    beliefs_[target].full_until = now + full_for;
}

void placement::on_load(const engine_claim& claim, time_point now)
{
    belief& b = beliefs_[claim.engine];
    b.reported = claim.running + claim.waiting;
    b.reported_at = now;
    b.sent_since = 0;
    b.halting = claim.halting_permille / per_mille;
    b.free_adapter_slots = claim.free_adapter_slots;
    b.loads_since = 0;
}

void placement::on_resident(const std::string& target,
                            const std::string& adapter, std::uint64_t version,
                            time_point now)
{
    belief& b = beliefs_[target];
    b.adapters[adapter] = version;
    b.known_since[adapter] = now;
    b.copies[adapter] = now;
}

void placement::on_absent(const std::string& target, const std::string& adapter,
                          time_point now)
{
    belief& b = beliefs_[target];
    b.adapters.erase(adapter);
    b.known_since[adapter] = now;
}

void placement::on_load_refused(const std::string& target, time_point now)
{
    beliefs_[target].no_loads_until = now + no_loads_for;
}

void placement::forget_copies(belief& b, std::size_t adapter_slots)
{
    const std::size_t most = copies_per_slot * adapter_slots;
    while (b.copies.size() > most) {
        const auto oldest = std::ranges::min_element(
            b.copies, {}, [](const auto& copy) { return copy.second; });
        b.copies.erase(oldest);
    }
}

std::vector<std::string> placement::copies_at(const std::string& target) const
{
    const auto b = beliefs_.find(target);
    if (b == beliefs_.end())
        return {};
    std::vector<std::pair<time_point, std::string>> by_age;
    by_age.reserve(b->second.copies.size());
    for (const auto& [name, seen] : b->second.copies)
        by_age.emplace_back(seen, name);
    std::ranges::sort(by_age);
    std::vector<std::string> out;
    out.reserve(by_age.size());
    for (auto& [seen, name] : by_age)
        out.push_back(std::move(name));
    return out;
}

void placement::on_entry(const target_entry& entry, std::size_t adapter_slots,
                         time_point now)
{
    belief& b = beliefs_[entry.id];
    if (b.started_ms != entry.started_ms) {
        const auto open = b.open;
        b = {};
        b.open = open;
        b.started_ms = entry.started_ms;
    }
    std::map<std::string, std::uint64_t, std::less<>> listed;
    for (const auto& m : entry.models)
        for (const auto& text : m.adapters) {
            const auto [name, version] = split_version(text);
            listed[adapter_name(m.name, name)] = version;
        }
    // What was heard from the owner lately is younger than the entry.
    std::erase_if(b.known_since, [&](const auto& known) {
        return now - known.second > entry_lag;
    });
    std::erase_if(b.adapters, [&](const auto& a) {
        return !b.known_since.contains(a.first) && !listed.contains(a.first);
    });
    for (const auto& [name, version] : listed) {
        b.copies[name] = now;
        if (!b.known_since.contains(name))
            b.adapters[name] = version;
    }
    forget_copies(b, adapter_slots);
}

void placement::forget(const std::string& target)
{
    beliefs_.erase(target);
}

bool placement::is_resident(const std::string& target,
                            const std::string& adapter,
                            std::uint64_t version) const
{
    const auto b = beliefs_.find(target);
    if (b == beliefs_.end())
        return false;
    const auto a = b->second.adapters.find(adapter);
    return a != b->second.adapters.end() && a->second >= version;
}

std::uint32_t placement::open(const std::string& target) const
{
    const auto it = beliefs_.find(target);
    return it == beliefs_.end() ? 0 : it->second.open;
}

double placement::load_of(const belief& b, std::uint32_t slots,
                          std::size_t instances, time_point now) const
{
    const double all = slots == 0 ? 1 : slots;
    const bool fresh =
        now - b.reported_at < report_keeps && b.reported_at != time_point{};
    // Without a report, the other instances are taken to send as much.
    const double guess =
        fresh ? static_cast<double>(b.reported) + b.sent_since
              : static_cast<double>(b.open) * static_cast<double>(instances);
    return std::max(guess, static_cast<double>(b.open)) / all;
}

std::string_view
target_cost::largest_excess(const target_cost& other) const noexcept
{
    const std::array<std::pair<double, std::string_view>, 8> parts{{
        {crowding - other.crowding, "crowding"},
        {halting - other.halting, "halting"},
        {load - other.load, "load"},
        {place - other.place, "place"},
        {rank - other.rank, "rank"},
        {domain - other.domain, "domain"},
        {failure - other.failure, "failure"},
        {standing - other.standing, "standing"},
    }};
    return std::ranges::max_element(parts)->second;
}

std::vector<placement::candidate>
placement::rank_targets(const placement_request& request,
                        const std::string& key,
                        std::span<const target_state* const> candidates)
{
    const auto key_hash = stable_hash(key, place_seed);
    std::vector<candidate> order;
    for (const target_state* t : candidates)
        if (std::ranges::find(request.excluded, t->entry.id) ==
            request.excluded.end())
            order.push_back(
                {t,
                 combine_hash(key_hash, stable_hash(t->entry.id, place_seed))});
    std::ranges::sort(order, std::greater<>(), &candidate::weight);
    return order;
}

std::size_t placement::homes_for(double recent,
                                 std::span<const candidate> order)
{
    if (order.empty())
        return 0;
    const double slots = std::max(1U, order.front().target->entry.slots);
    const double running =
        recent * mean_run_ms / to_ms(demand_time); // at the same time
    const auto homes =
        static_cast<std::size_t>(std::ceil(running / (slots * home_fill)));
    return std::clamp<std::size_t>(homes, 1, order.size());
}

double placement::place_cost(const belief& b, time_point now)
{
    if (now - b.reported_at >= report_keeps)
        return 0;
    const double left = b.free_adapter_slots > b.loads_since
                            ? b.free_adapter_slots - b.loads_since
                            : 0;
    return no_place_cost / (1 + left);
}

double placement::standing_cost(const target_state& t, const belief& b,
                                bool resident, time_point now) const
{
    double cost = 0;
    if (!resident && now < b.no_loads_until)
        cost += avoid_cost;
    if (t.use(now) == target_use::last_resort)
        cost += last_resort_cost;
    if (now < b.avoid_until)
        cost += avoid_cost;
    if (now < b.full_until)
        cost += full_cost;
    return cost;
}

std::optional<placement_choice>
placement::choose(const placement_request& request,
                  std::span<const target_state* const> candidates,
                  std::size_t instances, time_point now)
{
    const bool on_adapter =
        request.adapter && !request.adapter->adapter.empty();
    const std::string adapter =
        on_adapter
            ? adapter_name(request.adapter->model, request.adapter->adapter)
            : std::string();
    const std::string& key = on_adapter ? adapter : request.prompt_prefix;
    const auto order = rank_targets(request, key, candidates);
    const double recent =
        on_adapter ? count_demand(adapter, now) * static_cast<double>(instances)
                   : 0;
    const double uses =
        std::max(0.0, recent - static_cast<double>(instances)) * demand_share;
    const std::size_t homes = homes_for(recent, order);
    std::optional<placement_choice> best;
    target_cost first_cost;
    target_cost best_cost;
    std::uniform_real_distribution<double> jitter(0, noise);
    std::uniform_real_distribution<double> spread(0, spread_cost);
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const target_state& t = *order[rank].target;
        const belief& b = beliefs_[t.entry.id];
        const double slots = t.entry.slots;
        const double load = load_of(b, t.entry.slots, instances, now);
        const double running = (load + jitter(random_)) * slots;
        const bool resident =
            !on_adapter ||
            is_resident(t.entry.id, adapter, request.adapter->version);
        double wait =
            running > slots ? (running - slots) / slots * mean_run_ms : 0;
        target_cost cost;
        cost.crowding = crowding_cost(b, running, slots, now);
        if (now - b.reported_at < report_keeps)
            cost.halting = halting_cost * b.halting;
        if (!resident)
            cost.place = place_cost(b, now);
        if (!resident && b.copies.contains(adapter)) {
            wait += copy_wait_ms;
            cost.load = copy_load_cost;
        } else if (!resident) {
            wait += load_wait_ms;
            cost.load = load_wait_cost + load_cost / (1 + uses);
            const std::size_t apart = rank < homes ? 0 : rank + 1 - homes;
            cost.rank =
                rank_cost * static_cast<double>(std::min(apart, ranks_apart));
        }
        if (homes > 1 && rank < homes)
            cost.rank += spread(random_);
        else if (!key.empty())
            cost.rank += rank_order_cost * static_cast<double>(rank);
        if (t.entry.failure_domain != own_domain_)
            cost.domain = other_domain_cost;
        cost.failure = failure_cost * b.failure_share;
        cost.standing = standing_cost(t, b, resident, now);
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
        ++beliefs_[best->target].loads_since;
    if (best)
        best->passed_over =
            best->rank == 0 ? "nothing" : first_cost.largest_excess(best_cost);
    return best;
}

} // namespace lovagegate::gateway
