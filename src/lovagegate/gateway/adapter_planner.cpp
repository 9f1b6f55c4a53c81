#include "lovagegate/gateway/adapter_planner.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/placement.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Engines accept no more concurrent loads.
constexpr std::size_t max_concurrent_loads = 4;
/// Reports are some hundred milliseconds old and may not show a younger order.
constexpr duration report_lag = 400ms;
/// A load that is reported neither as resident nor as in transit for this long
/// has failed.
constexpr duration load_timeout = 2500ms;
/// Longest time that a load waits for a free slot.
constexpr duration pending_load_timeout = 2s;
/// An adapter whose use is unknown, since this owner is new, counts as used for
/// this long. By then instances have reported their use.
constexpr duration unknown_use_window = 450ms;
/// Time in which an instance that was told to use an adapter reports the use.
constexpr duration grant_window = 150ms;
/// A load that exceeds its estimate is checked again after its elapsed time
/// divided by this. Concurrent loads share the rate of the weight store and
/// take longer.
constexpr int recheck_divisor = 3;
constexpr duration min_recheck_delay = 30ms;
constexpr duration max_recheck_delay = 300ms;
/// Age of reports that is assumed until it is known.
constexpr duration usual_report_age = 100ms;
/// Time for a report to show the reason of a refusal, or for an unload to end.
constexpr duration refused_order_backoff = 120ms;
/// Interval between two orders to load the same base model.
constexpr duration model_load_retry_interval = 3s;
constexpr std::uint64_t model_hash_seed = 0x6d6f64;

} // namespace

std::string adapter_name(std::string_view model, std::string_view adapter)
{
    std::string name(model);
    name += '/';
    name += adapter;
    return name;
}

std::pair<std::string_view, std::uint64_t> split_version(std::string_view text)
{
    const auto at = text.rfind('@');
    if (at == std::string_view::npos)
        return {text, 0};
    std::uint64_t version = 0;
    std::from_chars(text.data() + at + 1, text.data() + text.size(), version);
    return {text.substr(0, at), version};
}

adapter_planner::adapter_planner(std::string id, engine_spec spec)
    : id_(std::move(id)), spec_(std::move(spec))
{
}

const model_spec* adapter_planner::find_model_spec(std::string_view model) const
{
    const auto it = std::ranges::find(spec_.models, model, &model_spec::name);
    return it == spec_.models.end() ? nullptr : &*it;
}

double adapter_planner::model_weights_mb() const
{
    double mb = 0;
    for (const auto& m : report_.models)
        if (const auto* s = find_model_spec(m.name))
            mb += s->weights_mb;
    return mb;
}

std::size_t adapter_planner::capacity() const
{
    double adapter_mb = 0;
    for (const auto& m : spec_.models)
        adapter_mb = std::max(adapter_mb, m.adapter_mb);
    if (adapter_mb <= 0 || spec_.weights_mb <= 0)
        return spec_.adapter_slots;
    const double room =
        std::floor((spec_.weights_mb - model_weights_mb()) / adapter_mb);
    return std::min<std::size_t>(spec_.adapter_slots,
                                 static_cast<std::size_t>(std::max(0.0, room)));
}

bool adapter_planner::holds_model(std::string_view model) const
{
    return std::ranges::find(report_.models, model, &held_model::name) !=
           report_.models.end();
}

std::uint64_t adapter_planner::newest(const std::string& name) const
{
    const auto it = newest_versions_.find(name);
    return it == newest_versions_.end() ? 0 : it->second;
}

std::size_t adapter_planner::in_transit() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](const auto& p) {
            return p.second.state == slot_state::loading || p.second.replacing;
        }));
}

bool adapter_planner::is_in_use(const std::string& name, const adapter_slot& p,
                                time_point now) const
{
    return users_.is_used(name, now) ||
           (p.granted_at != time_point{} &&
            now - p.granted_at < grant_window) ||
           (!p.use_known && now - p.last_use < unknown_use_window);
}

std::size_t adapter_planner::free_adapter_slots(time_point now) const
{
    const auto taken = static_cast<std::size_t>(std::ranges::count_if(
                           slots_,
                           [&](const auto& p) {
                               return p.second.state != slot_state::resident ||
                                      p.second.replacing ||
                                      is_in_use(p.first, p.second, now);
                           })) +
                       pending_loads_.size();
    const std::size_t all = capacity();
    return taken < all ? all - taken : 0;
}

bool adapter_planner::expects_change(time_point now) const
{
    return std::ranges::any_of(slots_,
                               [&](const auto& p) {
                                   return p.second.state !=
                                              slot_state::resident ||
                                          p.second.replacing;
                               }) ||
           (reported_ && report_.models.empty() && now > time_point{}) ||
           (reported_ && sequence_uncertain_);
}

void adapter_planner::add_reported_adapters(const engine_report& report,
                                            time_point now)
{
    for (const auto& m : report.models) {
        for (const auto& text : m.adapters) {
            const auto [name, version] = split_version(text);
            const auto key = adapter_name(m.name, name);
            if (was_just_unloaded(key, now))
                continue;
            const auto [it, added] = slots_.emplace(
                key, adapter_slot{slot_state::resident, version,
                                  now - report_lag, now, false, false, now});
            adapter_slot& p = it->second;
            if (added)
                continue;
            // The report may be older than an order to unload.
            if (p.state == slot_state::unloading &&
                !(p.unload_unconfirmed && now - p.since > report_lag))
                continue;
            p.unload_unconfirmed = false;
            if (p.replacing && version > p.version)
                p.replacing = false;
            if (p.state == slot_state::loading) {
                p.last_use = now;
                // A report of unknown age may be no older than its answer, so
                // the full time counts.
                const auto age = report_age_.value().value_or(duration::zero());
                load_times_.on_load_finished(p.was_cached, now - age - p.since);
            }
            p.version = version;
            p.state = slot_state::resident;
        }
    }
}

void adapter_planner::remove_unreported(const engine_report& report,
                                        time_point now)
{
    const auto is_reported = [&](std::string_view key) {
        for (const auto& m : report.models)
            for (const auto& text : m.adapters)
                if (adapter_name(m.name, split_version(text).first) == key)
                    return true;
        return std::ranges::any_of(report.in_transit,
                                   [&](const std::string& text) {
                                       return split_version(text).first == key;
                                   });
    };
    std::erase_if(slots_, [&](const auto& entry) {
        const adapter_slot& p = entry.second;
        const duration age = now - p.since;
        if (is_reported(entry.first) ||
            age <= (p.state == slot_state::loading ? load_timeout : report_lag))
            return false;
        if (p.state == slot_state::unloading)
            remember_cached(entry.first);
        return true;
    });
    for (auto& [key, p] : slots_)
        if (p.replacing && now - p.since > load_timeout)
            p.replacing = false;
}

void adapter_planner::discard_unreported_state(const engine_report& report)
{
    std::set<std::string, std::less<>> resident;
    std::set<std::string, std::less<>> in_transit;
    for (const auto& m : report.models)
        for (const auto& text : m.adapters)
            resident.insert(adapter_name(m.name, split_version(text).first));
    for (const auto& text : report.in_transit)
        in_transit.emplace(split_version(text).first);
    unloaded_at_.clear();
    std::erase_if(slots_, [&](const auto& entry) {
        const auto& [key, p] = entry;
        const bool loading = p.state == slot_state::loading;
        return !resident.contains(key) &&
               !(loading && in_transit.contains(key));
    });
    // An unload that was refused is no longer expected.
    for (auto& [key, p] : slots_)
        if (p.state == slot_state::unloading)
            p.state = slot_state::resident;
}

void adapter_planner::on_report(const engine_report& report, time_point now)
{
    report_ = report;
    if (names_numbers() && !first_order_pending_ &&
        (sequence_uncertain_ || report.sequence >= order_sequence_))
        discard_unreported_state(report);
    add_reported_adapters(report, now);
    for (const auto& text : report.in_transit) {
        const auto [key, version] = split_version(text);
        const auto [it, added] = slots_.emplace(
            std::string(key),
            adapter_slot{slot_state::loading, version, now, now, false, false,
                         now + load_times_.expected(false)});
        adapter_slot& p = it->second;
        if (added || p.state != slot_state::loading)
            continue;
        if (p.accepted && !std::exchange(p.reported, true))
            report_age_.add(now - p.since);
        const auto age = report_age_.value().value_or(usual_report_age);
        load_times_.on_still_loading(p.was_cached, now - age - p.since);
    }
    remove_unreported(report, now);
    // The report may be older than an order that was answered since.
    order_sequence_ = sequence_uncertain_
                          ? report.sequence
                          : std::max(order_sequence_, report.sequence);
    sequence_uncertain_ = false;
    reported_ = true;
}

void adapter_planner::on_release(const adapter_release& release)
{
    auto& known =
        newest_versions_[adapter_name(release.model, release.adapter)];
    known = std::max(known, release.version);
}

adapter_planner::adapter_state
adapter_planner::look_up(std::string_view model, std::string_view adapter,
                         time_point now) const
{
    const auto it = slots_.find(adapter_name(model, adapter));
    if (it == slots_.end() || it->second.state == slot_state::unloading)
        return {};
    const adapter_slot& p = it->second;
    if (p.state == slot_state::resident)
        return {adapter_status::resident, p.version};
    if (now < p.ready_at)
        return {};
    return {adapter_status::expected, p.version};
}

std::optional<time_point> adapter_planner::next_load_ready() const
{
    std::optional<time_point> next;
    for (const auto& [name, p] : slots_)
        if (p.state == slot_state::loading && (!next || p.ready_at < *next))
            next = p.ready_at;
    return next;
}

void adapter_planner::on_not_loaded(std::string_view name, time_point now)
{
    const auto it = slots_.find(name);
    if (it == slots_.end() || it->second.state != slot_state::loading ||
        now < it->second.ready_at)
        return;
    adapter_slot& p = it->second;
    const duration under_way = now - p.since;
    load_times_.on_still_loading(p.was_cached, under_way);
    p.ready_at = now + std::clamp(under_way / recheck_divisor,
                                  min_recheck_delay, max_recheck_delay);
}

void adapter_planner::remember_cached(const std::string& name)
{
    std::erase(cached_, name);
    cached_.push_front(name);
    // Resident adapters occupy the cache as well.
    const std::size_t most =
        (cached_adapters_per_slot - 1) * spec_.adapter_slots;
    if (cached_.size() > most)
        cached_.pop_back();
}

void adapter_planner::on_unloaded(const std::string& name, time_point now)
{
    remember_cached(name);
    std::erase_if(unloaded_at_,
                  [&](const auto& u) { return now - u.second > report_lag; });
    unloaded_at_[name] = now;
}

bool adapter_planner::was_just_unloaded(std::string_view name,
                                        time_point now) const
{
    const auto it = unloaded_at_.find(name);
    return it != unloaded_at_.end() && now - it->second <= report_lag;
}

void adapter_planner::add_cached_adapters(std::span<const std::string> names)
{
    for (const auto& name : names)
        remember_cached(name);
}

bool adapter_planner::was_cached(std::string_view name) const
{
    return std::ranges::find(cached_, name) != cached_.end();
}

adapter_status adapter_planner::require_adapter(const adapter_ref& wanted,
                                                time_point now,
                                                time_point until)
{
    const auto key = adapter_name(wanted.model, wanted.adapter);
    const auto it = slots_.find(key);
    if (it != slots_.end()) {
        adapter_slot& p = it->second;
        p.last_use = now;
        const bool right = wanted.version == 0 || p.version == wanted.version;
        if (p.state == slot_state::loading)
            return now >= p.ready_at && right ? adapter_status::expected
                                              : adapter_status::loading;
        if (p.state == slot_state::resident && right)
            return adapter_status::resident;
        if (p.state == slot_state::resident && p.version > wanted.version)
            return adapter_status::refused;
    }
    if (capacity() == 0 && reported_ && !report_.models.empty())
        return adapter_status::refused;
    const auto waiting =
        std::ranges::find_if(pending_loads_, [&](const auto& w) {
            return w.wanted.model == wanted.model &&
                   w.wanted.adapter == wanted.adapter;
        });
    if (waiting == pending_loads_.end())
        pending_loads_.push_back({wanted, now, until});
    else
        waiting->until = std::max(waiting->until, until);
    return adapter_status::loading;
}

void adapter_planner::withdraw_load(const adapter_ref& wanted)
{
    std::erase_if(pending_loads_, [&](const pending_load& w) {
        return w.wanted.model == wanted.model &&
               w.wanted.adapter == wanted.adapter;
    });
}

bool adapter_planner::on_usage(std::string_view instance,
                               std::span<const std::string> names,
                               time_point now)
{
    const bool released = users_.on_usage(instance, names, now);
    for (const auto& name : names) {
        const auto it = slots_.find(name);
        if (it == slots_.end())
            continue;
        it->second.last_use = now;
        it->second.use_known = true;
    }
    return released && !pending_loads_.empty();
}

void adapter_planner::on_granted(std::string_view name, time_point now)
{
    const auto it = slots_.find(name);
    if (it == slots_.end())
        return;
    it->second.last_use = now;
    it->second.granted_at = now;
}

void adapter_planner::plan_model(std::string_view wanted, time_point now,
                                 std::vector<engine_order>& out)
{
    const model_spec* model = find_model_spec(wanted);
    if (model == nullptr || holds_model(wanted) || report_.busy)
        return;
    if (model_weights_mb() + model->weights_mb > spec_.weights_mb)
        return;
    const auto it = model_ordered_at_.find(wanted);
    if (it != model_ordered_at_.end() &&
        now - it->second < model_load_retry_interval)
        return;
    model_ordered_at_[std::string(wanted)] = now;
    out.push_back({true, model->name, {}, 0});
}

void adapter_planner::plan_replacements(time_point now,
                                        std::vector<engine_order>& out)
{
    for (auto& [key, p] : slots_) {
        const auto version = newest(key);
        if (version <= p.version || p.state != slot_state::resident ||
            p.replacing)
            continue;
        if (!may_order_more(out))
            return;
        const auto slash = key.find('/');
        out.push_back(
            {true, key.substr(0, slash), key.substr(slash + 1), version});
        p.replacing = true;
        p.since = now;
    }
}

void adapter_planner::evict_least_recent(time_point now,
                                         std::vector<engine_order>& out)
{
    std::size_t unloading = 0;
    auto victim = slots_.end();
    for (auto it = slots_.begin(); it != slots_.end(); ++it) {
        unloading += it->second.state == slot_state::unloading ? 1U : 0U;
        if (it->second.state != slot_state::resident || it->second.replacing ||
            is_in_use(it->first, it->second, now))
            continue;
        if (victim == slots_.end() ||
            it->second.last_use < victim->second.last_use)
            victim = it;
    }
    // Each unload makes room for one waiting load.
    if (victim == slots_.end() || unloading >= pending_loads_.size())
        return;
    const auto slash = victim->first.find('/');
    out.push_back({false, victim->first.substr(0, slash),
                   victim->first.substr(slash + 1), 0});
    victim->second.state = slot_state::unloading;
    victim->second.since = now;
}

void adapter_planner::plan_pending_loads(time_point now,
                                         std::vector<engine_order>& out)
{
    std::erase_if(pending_loads_, [&](const pending_load& w) {
        const auto have = look_up(w.wanted.model, w.wanted.adapter, now);
        return now - w.since > pending_load_timeout || now > w.until ||
               (have.status == adapter_status::resident &&
                have.version >= w.wanted.version);
    });
    // The newest first: if loads wait for slots for long, serving them in order
    // would make every request late.
    while (!pending_loads_.empty() && in_transit() < max_concurrent_loads &&
           may_order_more(out)) {
        const adapter_ref w = pending_loads_.back().wanted;
        if (!holds_model(w.model)) {
            plan_model(w.model, now, out);
            return;
        }
        const auto key = adapter_name(w.model, w.adapter);
        if (!slots_.contains(key)) {
            if (slots_.size() >= capacity()) {
                evict_least_recent(now, out);
                return;
            }
        } else if (slots_[key].state != slot_state::resident ||
                   slots_[key].replacing) {
            pending_loads_.pop_back();
            continue;
        }
        const auto version = std::max(w.version, newest(key));
        adapter_slot& p = slots_[key];
        const bool held = p.state == slot_state::resident;
        p.replacing = held;
        if (!held) {
            p.version = version;
            p.was_cached = was_cached(key);
            p.use_known =
                true; // requests that use it are granted by this owner
            p.ready_at = now + load_times_.expected(p.was_cached);
        }
        p.since = now;
        p.last_use = now;
        out.push_back({true, w.model, w.adapter, version});
        pending_loads_.pop_back();
    }
}

bool adapter_planner::may_order_more(const std::vector<engine_order>& out) const
{
    return !names_numbers() || out.empty();
}

std::vector<engine_order> adapter_planner::plan(time_point now)
{
    std::vector<engine_order> out;
    if (!reported_ || first_order_pending_ || now < no_orders_until_)
        return out;
    plan_orders(now, out);
    if (names_numbers() && !out.empty()) {
        out.front().expect = order_sequence_;
        first_order_pending_ = true;
    }
    return out;
}

void adapter_planner::plan_orders(time_point now,
                                  std::vector<engine_order>& out)
{
    if (report_.models.empty() && !spec_.models.empty()) {
        // An engine without a base model cannot serve any request.
        const auto first = pending_loads_.empty()
                               ? spec_
                                     .models[stable_hash(id_, model_hash_seed) %
                                             spec_.models.size()]
                                     .name
                               : pending_loads_.front().wanted.model;
        plan_model(first, now, out);
        return;
    }
    plan_replacements(now, out);
    plan_pending_loads(now, out);
}

void adapter_planner::record_first_outcome(const engine_order& order,
                                           order_outcome outcome)
{
    if (!order.expect)
        return;
    first_order_pending_ = false;
    first_order_accepted_ =
        first_order_accepted_ || outcome == order_outcome::accepted;
    if (!names_numbers())
        return;
    // The unload of an idle adapter takes effect at once and counts as an
    // order.
    if (outcome == order_outcome::accepted ||
        (outcome == order_outcome::already && !order.load))
        order_sequence_ = std::max(order_sequence_, *order.expect + 1);
    // Another owner's order arrived first, or this one may have been accepted.
    sequence_uncertain_ = outcome == order_outcome::engine_busy ||
                          outcome == order_outcome::unknown;
}

void adapter_planner::on_order_done(const engine_order& order,
                                    order_outcome outcome, time_point now)
{
    record_first_outcome(order, outcome);
    if (outcome == order_outcome::engine_busy ||
        outcome == order_outcome::refused || outcome == order_outcome::not_sent)
        no_orders_until_ = now + refused_order_backoff;
    if (order.adapter.empty()) {
        if (outcome != order_outcome::accepted &&
            outcome != order_outcome::unknown)
            model_ordered_at_.erase(order.model);
        return;
    }
    const auto it = slots_.find(adapter_name(order.model, order.adapter));
    if (it == slots_.end())
        return;
    adapter_slot& p = it->second;
    if (outcome == order_outcome::accepted && order.load &&
        p.state == slot_state::loading) {
        p.since = now;
        p.accepted = true;
        p.ready_at = now + load_times_.expected(p.was_cached);
    }
    if (outcome == order_outcome::unknown && !order.load) {
        p.unload_unconfirmed = true;
        p.since = now;
    }
    if (outcome == order_outcome::accepted || outcome == order_outcome::unknown)
        return; // the next report shows the result
    if (order.load && outcome == order_outcome::already) {
        p.state = slot_state::resident;
        p.replacing = false;
        return;
    }
    if (!order.load && outcome == order_outcome::already) {
        on_unloaded(it->first, now);
        slots_.erase(it);
        return;
    }
    if (!order.load || p.replacing) {
        p.state = slot_state::resident;
        p.replacing = false;
        p.last_use = now;
        return;
    }
    slots_.erase(it);
}

} // namespace lovagegate::gateway
