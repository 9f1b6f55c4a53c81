#include "lovagegate/pace/engine_gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lovagegate::pace {

namespace {

/// Weight of one first event in the moving average of the prompt rate.
constexpr double rate_ewma_weight = 0.1;

} // namespace

engine_gate::engine_gate(std::uint32_t slots, start_kind start, time_point now,
                         const gate_settings& settings)
    : settings_(settings), slots_(std::max(1U, slots)), last_window_cut_(now),
      last_pace_cut_(now)
{
    // The state of an engine that another owner knew isn't known here.
    window_ = std::max(settings_.min_window, max_window() / 2);
    if (start == start_kind::started)
        restart(now);
}

double engine_gate::max_window() const
{
    return settings_.max_window_slot_share * slots_ + settings_.max_window_base;
}

std::size_t engine_gate::window() const
{
    return static_cast<std::size_t>(window_);
}

std::uint32_t engine_gate::limit(std::uint32_t priority) const
{
    const double share = priority == 0 ? 1 : settings_.ordinary_slot_share;
    return static_cast<std::uint32_t>(
        std::max(1.0, std::floor(share * pace_ * slots_)));
}

std::uint32_t engine_gate::open() const
{
    std::size_t all = 0;
    for (const auto& [address, h] : holders_)
        all += std::max<std::size_t>(h.admissions.size(), h.told);
    return static_cast<std::uint32_t>(all);
}

std::size_t engine_gate::unbegun() const
{
    std::size_t all = 0;
    for (const auto& [address, h] : holders_)
        all += static_cast<std::size_t>(std::ranges::count_if(
            h.admissions, [](const auto& a) { return a.second.waits; }));
    return all;
}

std::uint64_t engine_gate::waiting_tokens() const
{
    std::uint64_t all = 0;
    for (const auto& [address, h] : holders_)
        for (const auto& [number, a] : h.admissions)
            all += a.waits ? a.prompt_tokens : 0;
    return all;
}

bool engine_gate::fits_window(const gate_request& request) const
{
    // An answer that is no stream doesn't show when the engine begins.
    if (request.objective <= duration::zero() || unbegun() < window())
        return true;
    if (tokens_per_ms_ <= 0 || in_slow_start())
        return false;
    const auto tokens =
        static_cast<double>(waiting_tokens() + request.prompt_tokens);
    return unbegun() < static_cast<std::size_t>(max_window()) &&
           tokens / tokens_per_ms_ < to_ms(settings_.max_prompt_backlog);
}

engine_gate::decision engine_gate::ask(const std::string& address,
                                       const gate_request& request,
                                       time_point now)
{
    const std::uint32_t most = limit(request.priority);
    decision out{false, open(), 0};
    const auto waiting = static_cast<std::uint32_t>(unbegun());
    out.usable_slots = std::min(most, out.open - std::min(out.open, waiting) +
                                          static_cast<std::uint32_t>(window()));
    const auto known = holders_.find(address);
    if (known != holders_.end() &&
        known->second.admissions.contains(request.number)) {
        // The datagram came twice.
        out.admitted = true;
        return out;
    }
    out.admitted =
        request.must_run || (out.open < most && fits_window(request));
    if (!out.admitted)
        return out;
    const bool waits =
        request.objective > duration::zero() && !request.waits_for_adapter;
    const std::uint64_t backlog = waiting_tokens() + request.prompt_tokens;
    holder& h = holders_[address];
    h.heard = now;
    h.admissions.emplace(
        request.number, admission{request.prompt_tokens, request.objective, now,
                                  backlog, waits, request.waits_for_adapter});
    return out;
}

void engine_gate::on_sent(const std::string& address, std::uint64_t number,
                          time_point now)
{
    const auto h = holders_.find(address);
    if (h == holders_.end())
        return;
    h->second.heard = now;
    const auto it = h->second.admissions.find(number);
    if (it == h->second.admissions.end() ||
        !std::exchange(it->second.waits_for_adapter, false))
        return;
    admission& a = it->second;
    a.since = now;
    a.backlog_tokens = waiting_tokens() + a.prompt_tokens;
    a.waits = a.objective > duration::zero();
}

void engine_gate::learn_prompt_rate(const admission& a, duration time)
{
    if (time <= duration::zero() || a.backlog_tokens == 0)
        return;
    const double rate = static_cast<double>(a.backlog_tokens) / to_ms(time);
    tokens_per_ms_ =
        tokens_per_ms_ <= 0
            ? rate
            : tokens_per_ms_ + rate_ewma_weight * (rate - tokens_per_ms_);
}

void engine_gate::on_begun(const std::string& address, std::uint64_t number,
                           duration time, std::optional<duration> usual,
                           time_point now)
{
    const auto h = holders_.find(address);
    if (h == holders_.end())
        return;
    h->second.heard = now;
    const auto it = h->second.admissions.find(number);
    if (it == h->second.admissions.end() || !it->second.waits)
        return;
    admission& a = it->second;
    a.waits = false;
    learn_prompt_rate(a, time);
    const double ms = to_ms(time);
    const bool in_objective =
        ms <= settings_.good_objective_share * to_ms(a.objective);
    if (in_objective || (usual && ms <= settings_.good_factor * to_ms(*usual)))
        on_good_answer();
    else if (usual && ms > settings_.late_factor * to_ms(*usual) &&
             a.since >= last_window_cut_) {
        window_ = std::max(settings_.min_window, window_ / 2);
        last_window_cut_ = now;
    }
}

void engine_gate::on_good_answer()
{
    failures_ = 0;
    window_ = std::min(max_window(), window_ + 1);
    if (!in_slow_start())
        return;
    const auto round =
        static_cast<std::uint32_t>(std::max(1.0, std::ceil(pace_ * slots_)));
    if (++good_answers_ < round)
        return;
    good_answers_ = 0;
    pace_ = std::min(1.0, 2 * pace_);
}

void engine_gate::on_overload(time_point since, time_point now)
{
    // The requests that were sent before a cut say nothing about its effect.
    if (since >= last_window_cut_) {
        window_ = std::max(settings_.min_window, window_ / 2);
        last_window_cut_ = now;
    }
    if (!in_slow_start() || since < last_pace_cut_)
        return;
    pace_ = std::max(settings_.initial_pace, pace_ / 2);
    good_answers_ = 0;
    last_pace_cut_ = now;
}

void engine_gate::on_ended(const std::string& address, std::uint64_t number,
                           outcome how, time_point now)
{
    const auto h = holders_.find(address);
    if (h == holders_.end())
        return;
    h->second.heard = now;
    const auto it = h->second.admissions.find(number);
    if (it == h->second.admissions.end())
        return;
    const admission a = it->second;
    h->second.admissions.erase(it);
    // Otherwise the last telling would still count the ended request.
    if (h->second.told > h->second.admissions.size())
        --h->second.told;
    if (how == outcome::answered) {
        if (a.objective <= duration::zero())
            on_good_answer();
        return;
    }
    on_overload(a.since, now);
    if (how == outcome::failed && ++failures_ >= settings_.failure_series)
        restart(now);
}

void engine_gate::on_told(const std::string& address, std::uint32_t open,
                          time_point now)
{
    if (open == 0 && !holders_.contains(address))
        return;
    holder& h = holders_[address];
    h.told = open;
    h.heard = now;
    drop_missing(h, now);
}

void engine_gate::drop_missing(holder& h, time_point now)
{
    std::vector<std::pair<time_point, std::uint64_t>> settled;
    for (const auto& [number, a] : h.admissions)
        if (now - a.since >= settings_.telling_lag)
            settled.emplace_back(a.since, number);
    const std::size_t missing =
        settled.size() > h.told ? settled.size() - h.told : 0;
    if (missing == 0 || h.missing == 0) {
        h.missing = missing;
        h.missing_since = now;
        return;
    }
    if (now - h.missing_since < settings_.telling_gap) {
        h.missing = std::min(h.missing, missing);
        return;
    }
    std::ranges::sort(settled);
    const std::size_t dropped = std::min(missing, h.missing);
    for (std::size_t i = 0; i < dropped; ++i)
        h.admissions.erase(settled[i].second);
    h.missing = missing - dropped;
    h.missing_since = now;
}

void engine_gate::restart(time_point now)
{
    pace_ = std::min(1.0, std::max(settings_.initial_pace, 1 / slots_));
    window_ = settings_.min_window;
    good_answers_ = failures_ = 0;
    last_window_cut_ = last_pace_cut_ = now;
}

void engine_gate::tick(time_point now)
{
    std::erase_if(holders_, [&](const auto& h) {
        return now - h.second.heard > settings_.holder_ttl;
    });
    for (auto& [address, h] : holders_)
        for (auto& [number, a] : h.admissions)
            if (now - a.since > settings_.unbegun_ttl)
                a.waits = false;
}

} // namespace lovagegate::pace
