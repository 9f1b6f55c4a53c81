#include "lovagegate/quota/fleet_quota.hpp"

#include "lovagegate/logging/log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagegate::quota {

namespace {

/// Between the reports of an instance on workspaces that it uses and that have
/// used half of their limit, and otherwise. A lost report is repeated in time
/// for the lease.
constexpr duration busy_report_interval = 250ms;
constexpr duration report_interval = 750ms;
/// Shortest time between two reports to one coordinator.
constexpr duration min_report_spacing = 20ms;
/// Part of what the lease allows beyond the known demand that may be used
/// before a report is sent at once.
constexpr double urgent_share = 0.25;
/// Part of the rate that may be admitted without a report, so that a large
/// fleet doesn't send one for each request, and its bound.
constexpr double unreported_rate_share = 0.02;
constexpr double max_unreported_share = 0.5;
/// Time for which the reported demand may continue without a new answer even if
/// the lease is younger: the longest time between two answers, with one lost.
constexpr duration min_covered_demand_time = 500ms;
/// Age of an answer up to which more than the reported demand is admitted: that
/// of answers between two reports, with one or two lost.
constexpr duration new_demand_time = 1s;
/// After a change of the coordinators, instances report to the old and the new
/// ones for this long, and use the answers of the old ones for the time below:
/// not all learn of the change at the same time.
constexpr duration handover_time = 3s;
constexpr duration handover_use_time = 2s;
/// For this long after its start, an instance knows some of the others only,
/// and doesn't trust an answer that was derived from few reporters.
constexpr duration learning_time = 5s;
/// Coordinators tell all reporters at once if a fraction falls by this factor.
constexpr double push_factor = 0.8;
constexpr duration min_push_interval = 100ms;
/// Shortest time between pushes for each reporter: at most 1,000 datagrams/s.
constexpr duration push_interval_per_reporter = 1ms;
constexpr duration cleanup_interval = 1s;
constexpr duration idle_workspace_ttl = 60s;
/// A workspace without a refusal for this long is no longer limited.
constexpr duration limited_ttl = 5s;
/// Callers that are told to come back sooner only come in vain.
constexpr duration min_retry_after = 700ms;
/// Refused callers come back spread over this time, longer if fewer of them
/// can be admitted.
constexpr double min_retry_spread_s = 0.5;
constexpr double max_retry_spread_s = 2.5;
/// Workspaces with metrics of their own; the others share one.
constexpr std::size_t max_named_workspaces = 64;
constexpr std::string_view unnamed_workspaces =
    "workspace=\"other workspaces\"";
constexpr double whole_fraction = 10'000;
constexpr double max_request_tokens = 1e9;

std::int64_t whole_tokens(double tokens)
{
    return std::isfinite(tokens)
               ? std::llround(std::clamp(tokens, 0.0, max_request_tokens))
               : 0;
}

} // namespace

fleet_quota::fleet_quota(identity self, const quota_settings& settings,
                         std::uint64_t random_seed, sender send,
                         counters& counts)
    : self_(std::move(self)), settings_(settings), random_(random_seed),
      send_(std::move(send)), counts_(counts), fleet_(self_.seeds)
{
}

void fleet_quota::set_limits(std::span<const workspace_limit> limits)
{
    limits_.clear();
    for (const auto& limit : limits)
        if (std::isfinite(limit.rate_per_s) && limit.rate_per_s > 0)
            limits_.emplace(id_of(limit.name), limit);
    std::erase_if(workspaces_,
                  [this](const auto& w) { return !limits_.contains(w.first); });
}

std::string fleet_quota::label_of(const std::string& name) const
{
    std::string value;
    for (const char c : name) {
        if (c == '\n')
            continue;
        if (c == '"' || c == '\\')
            value += '\\';
        value += c;
    }
    std::string own = "workspace=\"" + value + "\"";
    // Names of workspaces that came and went keep their counters.
    const std::string counter = "quota_tokens_admitted{" + own + "}";
    if (counts_.all().contains(counter))
        return own;
    const auto named = std::ranges::count_if(counts_.all(), [](const auto& c) {
        return c.first.starts_with("quota_tokens_admitted{");
    });
    return static_cast<std::size_t>(named) < max_named_workspaces
               ? own
               : std::string(unnamed_workspaces);
}

fleet_quota::workspace& fleet_quota::use_of(workspace_id id,
                                            const workspace_limit& limit)
{
    const auto it = workspaces_.find(id);
    if (it != workspaces_.end())
        return it->second;
    workspace& w =
        workspaces_.try_emplace(id, settings_, random_).first->second;
    w.label = label_of(limit.name);
    count("quota_tokens_admitted", w, 0);
    return w;
}

void fleet_quota::count(std::string_view counter, const workspace& w,
                        std::int64_t tokens)
{
    std::string name(counter);
    counts_.add(name.append("{").append(w.label).append("}"),
                static_cast<std::uint64_t>(tokens));
}

std::optional<duration> fleet_quota::admit(std::string_view workspace_name,
                                           double tokens, time_point now)
{
    const workspace_id id = id_of(workspace_name);
    const auto it = limits_.find(id);
    if (it == limits_.end())
        return std::nullopt;
    const workspace_limit& limit = it->second;
    workspace& w = use_of(id, limit);
    const std::int64_t size = whole_tokens(tokens);
    w.demand.add(size, now);
    w.last_request = now;
    lease_channel* const channel = lease_for(id, now);
    if (channel != nullptr)
        w.fallback.reset();
    const auto refusal = channel != nullptr
                             ? admit_by_lease(*channel, w, limit, size, now)
                             : admit_by_fallback(w, limit, size, now);
    if (refusal) {
        on_refused(w, limit, size, now);
    } else {
        w.admitted.add(size, now);
        w.total_admitted += size;
        count("quota_tokens_admitted", w, size);
    }
    if (channel != nullptr && channel->is_urgent)
        send_urgent_report(*channel, now);
    return refusal;
}

void fleet_quota::send_urgent_report(const lease_channel& channel,
                                     time_point now)
{
    // What can't be sent yet is left to the next tick.
    const bool may_send =
        now - channel.last_sent().value_or(now) >= min_report_spacing;
    for (auto* a : {&current_, &previous_}) {
        if (!*a)
            continue;
        for (auto& [address, c] : (*a)->channels)
            if (&c == &channel && (may_send || address == self_.address))
                send_report(**a, address, c, now);
    }
}

bool fleet_quota::is_usable(lease_channel* channel,
                            const workspace_limit& limit, time_point now) const
{
    if (channel == nullptr || !channel->is_valid(now))
        return false;
    if (!members_since_ || now - *members_since_ >= learning_time)
        return true;
    const auto terms = channel->terms_of(limit, settings_, now);
    return fleet_.is_known() && 2 * terms.reporters >= fleet_.largest();
}

lease_channel* fleet_quota::lease_for(workspace_id id, time_point now)
{
    const auto channel_of = [id](std::optional<assignment>& a) {
        if (!a || a->coordinators.all().empty())
            return static_cast<lease_channel*>(nullptr);
        const auto it = a->channels.find(a->coordinators.coordinator_of(id));
        return it == a->channels.end() ? nullptr : &it->second;
    };
    const workspace_limit& limit = limits_.at(id);
    lease_channel* const current = channel_of(current_);
    lease_channel* const previous = channel_of(previous_);
    const bool is_current_usable = is_usable(current, limit, now);
    if (is_current_usable && now - current_->since >= handover_use_time)
        return current;
    if (is_usable(previous, limit, now))
        return previous;
    return is_current_usable ? current : nullptr;
}

std::optional<duration>
fleet_quota::admit_by_lease(lease_channel& channel, workspace& w,
                            const workspace_limit& limit, std::int64_t tokens,
                            time_point now)
{
    const auto terms = channel.terms_of(limit, settings_, now);
    w.fraction = terms.fraction;
    // Until the next answer, demand may go on as reported while there is room
    // for that of all instances. What would be left of the room at the end of
    // the lease, and what the bound permits beyond the target, is divided
    // equally. The bound thus holds even if no report arrives any more.
    const std::int64_t unknown =
        terms.reported ? w.total_admitted - terms.reported->total_admitted
                       : w.admitted.sum(now);
    const double demand =
        terms.reported ? static_cast<double>(terms.reported->demand_per_s) : 0;
    const double left = terms.horizon > lease_time
                            ? terms.room * (1 - to_seconds(lease_time) /
                                                    to_seconds(terms.horizon))
                            : std::min(terms.room, 0.0);
    const double part =
        std::max(left + limit.allowed(settings_) - limit.target(settings_) +
                     limit.margin(settings_),
                 0.0) /
        static_cast<double>(std::max(terms.instances, fleet_.largest()));
    // A part below one request would refuse the third of several requests that
    // come between a report and its answer.
    constexpr double covered_requests = 2;
    double extra =
        terms.fraction < 1
            ? part
            : std::max(part, covered_requests * limit.request_size());
    if (terms.age > new_demand_time)
        extra = 0;
    const double allowed =
        extra +
        terms.fraction * demand *
            to_seconds(std::min(std::max(terms.age, min_covered_demand_time),
                                terms.horizon));
    const auto used = static_cast<double>(unknown);
    const auto room_in =
        from_seconds(std::min(std::max(-terms.room, 0.0) / limit.rate_per_s,
                              to_seconds(settings_.window)));
    if (used >= allowed) {
        channel.is_urgent = terms.fraction > 0;
        return retry_after(room_in, terms.fraction);
    }
    if (used + static_cast<double>(tokens) >=
        std::max(urgent_share * extra,
                 std::min(max_unreported_share * extra,
                          unreported_rate_share * limit.rate_per_s)) +
            terms.fraction * demand * to_seconds(terms.age))
        channel.is_urgent = true;
    if (!w.thinning.admit(terms.fraction, tokens))
        return retry_after(room_in, terms.fraction);
    return std::nullopt;
}

std::optional<duration>
fleet_quota::admit_by_fallback(workspace& w, const workspace_limit& limit,
                               std::int64_t tokens, time_point now)
{
    const double part =
        limit.rate_per_s / static_cast<double>(fleet_.largest());
    // What was admitted before the coordinator was lost is in the window.
    const double window_part =
        limit.allowed(settings_) / static_cast<double>(fleet_.largest());
    const auto admitted = static_cast<double>(w.admitted.sum(now));
    if (admitted <= window_part && w.fallback.take(tokens, part, random_, now))
        return std::nullopt;
    return retry_after(w.fallback.wait(part), 0);
}

duration fleet_quota::retry_after(duration room_in, double fraction)
{
    const double longest =
        min_retry_spread_s +
        (1 - fraction) * (max_retry_spread_s - min_retry_spread_s);
    return std::max(room_in, min_retry_after) +
           from_seconds(
               std::uniform_real_distribution<double>(0, longest)(random_));
}

void fleet_quota::on_refused(workspace& w, const workspace_limit& limit,
                             std::int64_t tokens, time_point now)
{
    count("quota_tokens_refused", w, tokens);
    if (!w.last_refusal) {
        w.refused = 0;
        logging::write(logging::level::info, "quota_limited",
                       {{"workspace", limit.name},
                        {"rate", static_cast<std::uint64_t>(limit.rate_per_s)},
                        {"instances", std::uint64_t{fleet_.largest()}}});
    }
    w.last_refusal = now;
    w.refused += static_cast<std::uint64_t>(tokens);
}

void fleet_quota::give_back(std::string_view workspace_name, double tokens,
                            time_point now)
{
    const auto it = workspaces_.find(id_of(workspace_name));
    if (it == workspaces_.end())
        return;
    workspace& w = it->second;
    const std::int64_t size = whole_tokens(tokens);
    w.admitted.add(-size, now);
    w.total_admitted -= size;
    count("quota_tokens_given_back", w, size);
}

void fleet_quota::set_members(std::span<const std::string> alive,
                              std::span<const std::string> leaving,
                              time_point now)
{
    if (!members_since_)
        members_since_ = now;
    fleet_.update(alive, leaving, now);
    update_coordinators(alive, now);
}

void fleet_quota::tick(time_point now)
{
    for (auto& [digest, c] : coordinated_) {
        c.reports.expire(now);
        push(digest, c, now);
    }
    if (now - last_cleanup_ >= cleanup_interval) {
        last_cleanup_ = now;
        forget_idle(now);
    }
    if (limits_.empty())
        return;
    for (auto* a : {&current_, &previous_})
        if (*a)
            send_reports(**a, now);
}

void fleet_quota::update_coordinators(std::span<const std::string> alive,
                                      time_point now)
{
    coordinator_list next(alive);
    if (current_ && current_->coordinators.digest() == next.digest()) {
        if (now - current_->since >= handover_time)
            previous_.reset();
        return;
    }
    if (previous_ && previous_->coordinators.digest() == next.digest()) {
        // The change was undone; the exchange with the old ones continues.
        std::swap(current_, previous_);
        current_->since = now;
        return;
    }
    previous_ = std::exchange(current_, assignment{std::move(next), now, {}});
    for (const std::string& address : current_->coordinators.all())
        current_->channels.try_emplace(address);
}

bool fleet_quota::is_report_due(const assignment& a,
                                const std::string& coordinator,
                                const lease_channel& channel,
                                time_point now) const
{
    if (!channel.last_sent())
        return true;
    const duration since = now - *channel.last_sent();
    if (channel.is_urgent && since >= min_report_spacing)
        return true;
    if (channel.is_unanswered(now) || since >= report_interval)
        return true;
    if (since < busy_report_interval)
        return false;
    return std::ranges::any_of(workspaces_, [&](const auto& entry) {
        const auto& [id, w] = entry;
        return now - w.last_request <= report_interval &&
               a.coordinators.coordinator_of(id) == coordinator &&
               channel.terms_of(limits_.at(id), settings_, now).is_busy;
    });
}

void fleet_quota::send_reports(assignment& a, time_point now)
{
    for (auto& [address, channel] : a.channels)
        if (is_report_due(a, address, channel, now))
            send_report(a, address, channel, now);
}

void fleet_quota::send_report(assignment& a, const std::string& coordinator,
                              lease_channel& channel, time_point now)
{
    gateway::quota_report report;
    lease_channel::uses uses;
    for (const auto& [id, w] : workspaces_) {
        if (a.coordinators.coordinator_of(id) != coordinator)
            continue;
        const std::int64_t admitted = w.admitted.sum(now);
        const auto demand =
            std::llround(w.demand.rate(limits_.at(id).demand_horizon(), now));
        if (admitted == 0 && demand == 0)
            continue;
        report.entries.push_back({id, admitted, demand});
        uses.emplace(id, lease_channel::use{w.total_admitted, demand});
    }
    report.start = self_.start;
    report.sequence = channel.on_sent(std::move(uses), now);
    report.coordinators = a.coordinators.digest();
    report.instances = static_cast<std::uint32_t>(fleet_.largest());
    for (const auto& part : split(std::move(report)))
        deliver(coordinator, part, now);
}

void fleet_quota::deliver(const std::string& to,
                          const gateway::peer_message& message, time_point now)
{
    if (to != self_.address) {
        send_(to, message);
        return;
    }
    if (const auto* report = std::get_if<gateway::quota_report>(&message))
        on_message(to, *report, now);
    else if (const auto* share = std::get_if<gateway::quota_share>(&message))
        on_message(to, *share);
}

void fleet_quota::on_message(const std::string& from,
                             const gateway::quota_report& report,
                             time_point now)
{
    auto& c =
        coordinated_
            .try_emplace(report.coordinators,
                         coordination{report_group(settings_), {}, false, {}})
            .first->second;
    if (!c.reports.on_report(from, report, now))
        return;
    const auto entries = shares_of(c);
    send_share(report.coordinators, c, from, entries, now);
    // The others still use the fractions that they were told.
    std::unordered_map<workspace_id, double> told;
    for (const auto& e : entries) {
        const auto it = c.told.find(e.workspace);
        const double before = it == c.told.end() ? 1 : it->second;
        const double fraction = e.fraction / whole_fraction;
        c.push_due = c.push_due || fraction < push_factor * before;
        told.emplace(e.workspace, std::max(fraction, before));
    }
    c.told = std::move(told);
    push(report.coordinators, c, now);
}

std::vector<gateway::quota_share::entry>
fleet_quota::shares_of(const coordination& c) const
{
    constexpr double busy_share = 0.5;
    std::vector<gateway::quota_share::entry> out;
    const std::size_t fleet = c.reports.largest_fleet(fleet_.largest());
    const double part =
        static_cast<double>(c.reports.reporters()) / static_cast<double>(fleet);
    for (const auto& [id, use] : c.reports.totals()) {
        const auto limit = limits_.find(id);
        if (limit == limits_.end())
            continue;
        const auto verdict = c.reports.evaluate(limit->second, fleet);
        const double allowed = limit->second.target(settings_) * part;
        if (verdict.fraction >= 1 && verdict.room > busy_share * allowed &&
            verdict.horizon > unlisted_horizon)
            continue;
        out.push_back(
            {id, static_cast<std::uint32_t>(verdict.fraction * whole_fraction),
             std::llround(verdict.room),
             static_cast<std::uint32_t>(verdict.horizon / 1ms)});
    }
    return out;
}

void fleet_quota::send_share(
    std::uint32_t digest, const coordination& c, const std::string& to,
    const std::vector<gateway::quota_share::entry>& entries, time_point now)
{
    const auto acknowledged = c.reports.acknowledged(to);
    gateway::quota_share share;
    share.start = self_.start;
    share.sequence = ++share_sequence_;
    share.coordinators = digest;
    share.report_start = acknowledged.start;
    share.report_sequence = acknowledged.sequence;
    share.reporters = static_cast<std::uint32_t>(c.reports.reporters());
    share.instances =
        static_cast<std::uint32_t>(c.reports.largest_fleet(fleet_.largest()));
    share.entries = entries;
    for (const auto& part : split(std::move(share)))
        deliver(to, part, now);
}

void fleet_quota::push(std::uint32_t digest, coordination& c, time_point now)
{
    const auto reporters = static_cast<duration::rep>(c.reports.reporters());
    if (!c.push_due ||
        now - c.last_push <
            std::max(min_push_interval, push_interval_per_reporter * reporters))
        return;
    c.push_due = false;
    c.last_push = now;
    const auto entries = shares_of(c);
    c.told.clear();
    for (const auto& e : entries)
        c.told.emplace(e.workspace, e.fraction / whole_fraction);
    for (const std::string& address : c.reports.heard())
        send_share(digest, c, address, entries, now);
}

void fleet_quota::on_message(const std::string& from,
                             const gateway::quota_share& share)
{
    for (auto* a : {&current_, &previous_}) {
        if (!*a || (*a)->coordinators.digest() != share.coordinators)
            continue;
        const auto it = (*a)->channels.find(from);
        if (it != (*a)->channels.end() &&
            it->second.on_share(share, self_.start))
            counts_.add("quota_reports_answered");
        return;
    }
}

void fleet_quota::forget_idle(time_point now)
{
    for (auto& [id, w] : workspaces_) {
        if (!w.last_refusal || now - *w.last_refusal < limited_ttl)
            continue;
        w.last_refusal.reset();
        w.fraction = 1;
        logging::write(logging::level::info, "quota_no_longer_limited",
                       {{"workspace", limits_.at(id).name},
                        {"tokens_refused", w.refused}});
    }
    std::erase_if(workspaces_, [now](const auto& w) {
        return now - w.second.last_request > idle_workspace_ttl;
    });
    std::erase_if(coordinated_, [](const auto& c) {
        return c.second.reports.reporters() == 0 &&
               c.second.reports.totals().empty();
    });
}

std::vector<fleet_quota::fraction_gauge> fleet_quota::fractions() const
{
    std::vector<fraction_gauge> out;
    for (const auto& [id, w] : workspaces_)
        if (w.label != unnamed_workspaces && out.size() < max_named_workspaces)
            out.push_back({w.label, w.fraction});
    return out;
}

std::size_t fleet_quota::coordinated() const
{
    std::size_t count = 0;
    for (const auto& [digest, c] : coordinated_)
        count += c.reports.totals().size();
    return count;
}

} // namespace lovagegate::quota
