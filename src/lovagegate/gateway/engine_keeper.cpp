#include "lovagegate/gateway/engine_keeper.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/placement.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lovagegate::gateway {

namespace {

/// Loads to one engine at once: engines take no more.
constexpr std::size_t loads_at_once = 4;
/// Reports are some hundred milliseconds old: a younger order may not show.
constexpr duration report_lag = 400ms;
/// A load that neither shows as resident nor as under way has failed.
constexpr duration load_timeout = 2500ms;
/// Requests don't wait longer for a place.
constexpr duration want_timeout = 2s;
/// An adapter used this lately has requests on the engine.
constexpr duration in_use = 450ms;
/// A load that takes longer than expected is tried again after a part of the
/// time that it took so far: many at once share the store's rate.
constexpr int next_look_part = 3;
constexpr duration least_next_look = 30ms;
constexpr duration longest_next_look = 300ms;
/// Age that a report has at most, while its answer came at once.
constexpr duration report_age = 100ms;
/// After a refused order: until a report tells why, or an unload has ended.
constexpr duration order_pause = 120ms;
/// Between two orders to load the same base model.
constexpr duration model_order_pause = 3s;
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

engine_keeper::engine_keeper(std::string id, engine_spec spec)
    : id_(std::move(id)), spec_(std::move(spec))
{
}

const model_spec* engine_keeper::spec_of(std::string_view model) const
{
    const auto it = std::ranges::find(spec_.models, model, &model_spec::name);
    return it == spec_.models.end() ? nullptr : &*it;
}

double engine_keeper::held_mb() const
{
    double mb = 0;
    for (const auto& m : report_.models)
        if (const auto* s = spec_of(m.name))
            mb += s->weights_mb;
    return mb;
}

std::size_t engine_keeper::capacity() const
{
    double adapter_mb = 0;
    for (const auto& m : spec_.models)
        adapter_mb = std::max(adapter_mb, m.adapter_mb);
    if (adapter_mb <= 0 || spec_.weights_mb <= 0)
        return spec_.adapter_slots;
    const double room = std::floor((spec_.weights_mb - held_mb()) / adapter_mb);
    return std::min<std::size_t>(spec_.adapter_slots,
                                 static_cast<std::size_t>(std::max(0.0, room)));
}

bool engine_keeper::holds_model(std::string_view model) const
{
    return std::ranges::find(report_.models, model, &held_model::name) !=
           report_.models.end();
}

std::uint64_t engine_keeper::newest(const std::string& name) const
{
    const auto it = releases_.find(name);
    return it == releases_.end() ? 0 : it->second;
}

std::size_t engine_keeper::in_transit() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(places_, [](const auto& p) {
            return p.second.state == place_state::loading || p.second.replacing;
        }));
}

std::size_t engine_keeper::free_adapter_slots(time_point now) const
{
    const auto taken = static_cast<std::size_t>(std::ranges::count_if(
                           places_,
                           [&](const auto& p) {
                               return p.second.state != place_state::resident ||
                                      p.second.replacing ||
                                      now - p.second.last_use < in_use;
                           })) +
                       wants_.size();
    const std::size_t all = capacity();
    return taken < all ? all - taken : 0;
}

bool engine_keeper::awaits_change(time_point now) const
{
    return std::ranges::any_of(places_,
                               [&](const auto& p) {
                                   return p.second.state !=
                                              place_state::resident ||
                                          p.second.replacing;
                               }) ||
           (reported_ && report_.models.empty() && now > time_point{}) ||
           (reported_ && sequence_in_doubt_);
}

void engine_keeper::take_resident(const engine_report& report, time_point now)
{
    for (const auto& m : report.models) {
        for (const auto& text : m.adapters) {
            const auto [name, version] = split_version(text);
            const auto key = adapter_name(m.name, name);
            const auto [it, added] = places_.emplace(
                key, place{place_state::resident, version, now - report_lag,
                           now, false, false, now});
            place& p = it->second;
            if (added)
                continue;
            // The report may be older than an order to unload.
            if (p.state == place_state::unloading &&
                !(p.in_doubt && now - p.since > report_lag))
                continue;
            p.in_doubt = false;
            if (p.replacing && version > p.version)
                p.replacing = false;
            if (p.state == place_state::loading) {
                p.last_use = now;
                // The report may be as young as its answer.
                loads_.on_within(p.was_held, now - p.since);
            }
            p.version = version;
            p.state = place_state::resident;
        }
    }
}

void engine_keeper::drop_missing(const engine_report& report, time_point now)
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
    std::erase_if(places_, [&](const auto& entry) {
        const place& p = entry.second;
        const duration age = now - p.since;
        if (is_reported(entry.first) ||
            age <=
                (p.state == place_state::loading ? load_timeout : report_lag))
            return false;
        if (p.state == place_state::unloading)
            note_left(entry.first);
        return true;
    });
    for (auto& [key, p] : places_)
        if (p.replacing && now - p.since > load_timeout)
            p.replacing = false;
}

void engine_keeper::on_report(const engine_report& report, time_point now)
{
    report_ = report;
    take_resident(report, now);
    for (const auto& text : report.in_transit) {
        const auto [key, version] = split_version(text);
        const auto [it, added] =
            places_.emplace(std::string(key),
                            place{place_state::loading, version, now, now,
                                  false, false, now + loads_.expected(false)});
        const place& p = it->second;
        if (!added && p.state == place_state::loading)
            loads_.on_longer_than(p.was_held, now - report_age - p.since);
    }
    drop_missing(report, now);
    // It may be older than an order that was answered since.
    sequence_ = sequence_in_doubt_ ? report.sequence
                                   : std::max(sequence_, report.sequence);
    sequence_in_doubt_ = false;
    reported_ = true;
}

void engine_keeper::on_release(const adapter_release& release)
{
    auto& known = releases_[adapter_name(release.model, release.adapter)];
    known = std::max(known, release.version);
}

engine_keeper::standing engine_keeper::look_up(std::string_view model,
                                               std::string_view adapter,
                                               time_point now) const
{
    const auto it = places_.find(adapter_name(model, adapter));
    if (it == places_.end() || it->second.state == place_state::unloading)
        return {};
    const place& p = it->second;
    if (p.state == place_state::resident)
        return {adapter_status::resident, p.version};
    if (now < p.ready_at)
        return {};
    return {adapter_status::expected, p.version};
}

std::optional<time_point> engine_keeper::next_ready() const
{
    std::optional<time_point> next;
    for (const auto& [name, p] : places_)
        if (p.state == place_state::loading && (!next || p.ready_at < *next))
            next = p.ready_at;
    return next;
}

void engine_keeper::on_too_early(std::string_view name, time_point now)
{
    const auto it = places_.find(name);
    if (it == places_.end() || it->second.state != place_state::loading ||
        now < it->second.ready_at)
        return;
    place& p = it->second;
    const duration under_way = now - p.since;
    loads_.on_longer_than(p.was_held, under_way);
    p.ready_at = now + std::clamp(under_way / next_look_part, least_next_look,
                                  longest_next_look);
}

void engine_keeper::note_left(const std::string& name)
{
    std::erase(left_, name);
    left_.push_front(name);
    // The resident ones take copies as well.
    const std::size_t most = (copies_per_slot - 1) * spec_.adapter_slots;
    if (left_.size() > most)
        left_.pop_back();
}

void engine_keeper::take_copies(std::span<const std::string> names)
{
    for (const auto& name : names)
        note_left(name);
}

bool engine_keeper::was_held(std::string_view name) const
{
    return std::ranges::find(left_, name) != left_.end();
}

adapter_status engine_keeper::want(const adapter_ref& wanted, time_point now)
{
    const auto key = adapter_name(wanted.model, wanted.adapter);
    const auto it = places_.find(key);
    if (it != places_.end()) {
        place& p = it->second;
        p.last_use = now;
        const bool right = wanted.version == 0 || p.version == wanted.version;
        if (p.state == place_state::loading)
            return now >= p.ready_at && right ? adapter_status::expected
                                              : adapter_status::loading;
        if (p.state == place_state::resident && right)
            return adapter_status::resident;
        if (p.state == place_state::resident && p.version > wanted.version)
            return adapter_status::refused;
    }
    if (capacity() == 0 && reported_ && !report_.models.empty())
        return adapter_status::refused;
    const bool waits = std::ranges::any_of(wants_, [&](const auto& w) {
        return w.wanted.model == wanted.model &&
               w.wanted.adapter == wanted.adapter;
    });
    if (!waits)
        wants_.push_back({wanted, now});
    return adapter_status::loading;
}

void engine_keeper::on_use(std::string_view name, time_point now)
{
    if (const auto it = places_.find(name); it != places_.end())
        it->second.last_use = now;
}

void engine_keeper::plan_model(std::string_view wanted, time_point now,
                               std::vector<engine_order>& out)
{
    const model_spec* model = spec_of(wanted);
    if (model == nullptr || holds_model(wanted) || report_.busy)
        return;
    if (held_mb() + model->weights_mb > spec_.weights_mb)
        return;
    const auto it = model_ordered_.find(wanted);
    if (it != model_ordered_.end() && now - it->second < model_order_pause)
        return;
    model_ordered_[std::string(wanted)] = now;
    out.push_back({true, model->name, {}, 0});
}

void engine_keeper::plan_replacements(time_point now,
                                      std::vector<engine_order>& out)
{
    for (auto& [key, p] : places_) {
        const auto version = newest(key);
        if (version <= p.version || p.state != place_state::resident ||
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

bool engine_keeper::evict_one(time_point now, std::vector<engine_order>& out)
{
    auto victim = places_.end();
    for (auto it = places_.begin(); it != places_.end(); ++it) {
        if (it->second.state == place_state::unloading)
            return false; // a place becomes free soon
        if (it->second.state != place_state::resident || it->second.replacing)
            continue;
        if (victim == places_.end() ||
            it->second.last_use < victim->second.last_use)
            victim = it;
    }
    if (victim == places_.end() || now - victim->second.last_use < in_use)
        return false;
    const auto slash = victim->first.find('/');
    out.push_back({false, victim->first.substr(0, slash),
                   victim->first.substr(slash + 1), 0});
    victim->second.state = place_state::unloading;
    victim->second.since = now;
    return true;
}

void engine_keeper::plan_wants(time_point now, std::vector<engine_order>& out)
{
    std::erase_if(wants_, [&](const pending_want& w) {
        const auto have = look_up(w.wanted.model, w.wanted.adapter, now);
        return now - w.since > want_timeout ||
               (have.status == adapter_status::resident &&
                have.version >= w.wanted.version);
    });
    while (!wants_.empty() && in_transit() < loads_at_once &&
           may_order_more(out)) {
        const adapter_ref w = wants_.front().wanted;
        if (!holds_model(w.model)) {
            plan_model(w.model, now, out);
            return;
        }
        const auto key = adapter_name(w.model, w.adapter);
        if (!places_.contains(key)) {
            if (places_.size() >= capacity()) {
                evict_one(now, out);
                return;
            }
        } else if (places_[key].state != place_state::resident ||
                   places_[key].replacing) {
            wants_.pop_front();
            continue;
        }
        const auto version = std::max(w.version, newest(key));
        place& p = places_[key];
        const bool held = p.state == place_state::resident;
        p.replacing = held;
        if (!held) {
            p.version = version;
            p.was_held = was_held(key);
            p.ready_at = now + loads_.expected(p.was_held);
        }
        p.since = now;
        p.last_use = now;
        out.push_back({true, w.model, w.adapter, version});
        wants_.pop_front();
    }
}

bool engine_keeper::may_order_more(const std::vector<engine_order>& out) const
{
    return settled_ || out.empty();
}

std::vector<engine_order> engine_keeper::plan(time_point now)
{
    std::vector<engine_order> out;
    if (!reported_ || first_under_way_ || now < no_orders_until_)
        return out;
    plan_orders(now, out);
    if (!settled_ && !out.empty()) {
        out.front().expect = sequence_;
        first_under_way_ = true;
    }
    return out;
}

void engine_keeper::plan_orders(time_point now, std::vector<engine_order>& out)
{
    if (report_.models.empty() && !spec_.models.empty()) {
        // Without any model the engine serves nothing.
        const auto first = wants_.empty()
                               ? spec_
                                     .models[stable_hash(id_, model_hash_seed) %
                                             spec_.models.size()]
                                     .name
                               : wants_.front().wanted.model;
        plan_model(first, now, out);
        return;
    }
    plan_replacements(now, out);
    plan_wants(now, out);
}

void engine_keeper::note_first_outcome(const engine_order& order,
                                       order_outcome outcome)
{
    if (!order.expect)
        return;
    first_under_way_ = false;
    settled_ = settled_ || outcome == order_outcome::accepted;
    if (settled_)
        return;
    // An adapter that is idle is unloaded at once, which counts as an order.
    if (outcome == order_outcome::already && !order.load)
        ++sequence_;
    // Somebody else's order came first, or this one may have come.
    sequence_in_doubt_ = outcome == order_outcome::engine_busy ||
                         outcome == order_outcome::unknown;
}

void engine_keeper::on_order_done(const engine_order& order,
                                  order_outcome outcome, time_point now)
{
    note_first_outcome(order, outcome);
    if (outcome == order_outcome::engine_busy ||
        outcome == order_outcome::refused || outcome == order_outcome::not_sent)
        no_orders_until_ = now + order_pause;
    if (order.adapter.empty()) {
        if (outcome != order_outcome::accepted &&
            outcome != order_outcome::unknown)
            model_ordered_.erase(order.model);
        return;
    }
    const auto it = places_.find(adapter_name(order.model, order.adapter));
    if (it == places_.end())
        return;
    place& p = it->second;
    if (outcome == order_outcome::accepted && order.load &&
        p.state == place_state::loading) {
        p.since = now;
        p.ready_at = now + loads_.expected(p.was_held);
    }
    if (outcome == order_outcome::unknown && !order.load) {
        p.in_doubt = true;
        p.since = now;
    }
    if (outcome == order_outcome::accepted || outcome == order_outcome::unknown)
        return; // the report tells the rest
    if (order.load && outcome == order_outcome::already) {
        p.state = place_state::resident;
        p.replacing = false;
        return;
    }
    if (!order.load && outcome == order_outcome::already) {
        note_left(it->first);
        places_.erase(it);
        return;
    }
    if (!order.load || p.replacing) {
        p.state = place_state::resident;
        p.replacing = false;
        p.last_use = now;
        return;
    }
    places_.erase(it);
}

} // namespace lovagegate::gateway
