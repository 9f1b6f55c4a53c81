#include "lovagegate/quota/report_group.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagegate::quota {

namespace {

/// An instance that was silent for this long no longer counts as a reporter:
/// several reports were lost. By then it has ended its use of the last answer.
constexpr duration reporter_timeout = 2500ms;
/// Bound of the numbers in reports, so that sums don't overflow.
constexpr std::int64_t max_tokens = 1'000'000'000'000;

/// Demand that lasts for about this long and exceeds the limit is slowed down
/// early. A short excess may use up the window.
constexpr duration demand_averaging_time = 4s;
/// Ratio of lasting demand and limit from which it is slowed down fully; the
/// demand for a limit of few requests varies more.
constexpr double full_excess = 1.25;
constexpr double full_excess_of_few = 2.5;
/// Time over which room is spread as long as lasting demand is below the limit:
/// that between two reports of an instance.
constexpr double brief_spread_s = 0.25;
/// Time in which lasting demand approaches the steady state. If it did so
/// quickly, each peak of admissions would return when it leaves the window.
constexpr double catch_up_s = 5;
/// The same for limits of few requests, which a single one may exceed.
constexpr double catch_up_of_few_s = 0.7;
/// Factor of the reserve of such limits: two large requests may be admitted at
/// the same time.
constexpr double reserve_of_few = 1.5;
/// Requests in a window below which a limit is one of few.
constexpr double few_requests = 20;
constexpr duration longest_horizon = 60s;

std::int64_t bounded(std::int64_t tokens)
{
    return std::clamp<std::int64_t>(tokens, 0, max_tokens);
}

} // namespace

void report_group::add(workspace_id id, std::int64_t admitted,
                       std::int64_t demand)
{
    total& t = totals_[id];
    t.admitted += admitted;
    t.demand_per_s += demand;
    if (t.admitted == 0 && t.demand_per_s == 0)
        totals_.erase(id);
}

void report_group::clear_use(reporter& r)
{
    for (const auto& [id, use] : r.use)
        add(id, -use.admitted, -use.demand_per_s);
    r.use.clear();
}

bool report_group::on_report(const std::string& from,
                             const gateway::quota_report& report,
                             time_point now)
{
    expire(now);
    reporter& r = reporters_[from];
    const std::uint64_t start_before = r.order.start();
    const gateway::quota_report* whole = r.order.take(report);
    if (whole == nullptr)
        return false;
    if (start_before != 0 && start_before != whole->start) {
        // What the earlier run admitted is still within the window.
        for (const auto& [id, use] : r.use) {
            if (use.admitted == 0)
                continue;
            past_.push_back({now + settings_.window, id, use.admitted});
            add(id, use.admitted, 0);
        }
    }
    clear_use(r);
    for (const auto& e : whole->entries) {
        const total use{bounded(e.admitted), bounded(e.demand_per_s), 0, {}};
        if (r.use.emplace(e.workspace, use).second)
            add(e.workspace, use.admitted, use.demand_per_s);
    }
    r.instances = whole->instances;
    r.heard_at = now;
    if (!r.is_heard)
        ++heard_;
    r.is_heard = true;
    update_averages(r, now);
    return true;
}

void report_group::update_averages(const reporter& r, time_point now)
{
    for (const auto& [id, use] : r.use) {
        const auto it = totals_.find(id);
        if (it == totals_.end())
            continue;
        total& t = it->second;
        const double passed =
            t.averaged_at == time_point{} ? 0 : to_seconds(now - t.averaged_at);
        t.averaged_at = now;
        t.lasting_demand_per_s +=
            (static_cast<double>(t.demand_per_s) - t.lasting_demand_per_s) *
            (1 - std::exp(-passed / to_seconds(demand_averaging_time)));
    }
}

void report_group::expire(time_point now)
{
    while (!past_.empty() && past_.front().until <= now) {
        add(past_.front().workspace, -past_.front().admitted, 0);
        past_.pop_front();
    }
    for (auto it = reporters_.begin(); it != reporters_.end();) {
        reporter& r = it->second;
        if (r.is_heard && now - r.heard_at > reporter_timeout) {
            r.is_heard = false;
            --heard_;
            for (auto& [id, use] : r.use)
                add(id, 0, -std::exchange(use.demand_per_s, 0));
        }
        if (!r.is_heard && now - r.heard_at > settings_.window) {
            clear_use(r);
            it = reporters_.erase(it);
        } else {
            ++it;
        }
    }
}

std::size_t report_group::largest_fleet(std::size_t instances) const
{
    for (const auto& [address, r] : reporters_)
        if (r.is_heard)
            instances = std::max<std::size_t>(instances, r.instances);
    return std::max(instances, heard_);
}

report_group::verdict report_group::evaluate(const workspace_limit& limit,
                                             std::size_t instances) const
{
    const double part =
        static_cast<double>(std::max<std::size_t>(heard_, 1)) /
        static_cast<double>(std::max({instances, heard_, std::size_t{1}}));
    verdict v{1, limit.target(settings_) * part, longest_horizon};
    const auto it = totals_.find(id_of(limit.name));
    const total use = it == totals_.end() ? total{} : it->second;
    const auto admitted = static_cast<double>(use.admitted);
    const double target = v.room;
    v.room -= admitted;
    const double window = to_seconds(settings_.window);
    const bool is_of_few =
        limit.target(settings_) < few_requests * limit.request_size();
    // Under lasting excess, this much is in the window.
    const double steady =
        target * window /
        (window + (is_of_few ? reserve_of_few : 1) * limit.reserve_s());
    const double slowed =
        steady / window +
        (steady - admitted) / (is_of_few ? catch_up_of_few_s : catch_up_s);
    const double excess =
        std::clamp((use.lasting_demand_per_s / (limit.rate_per_s * part) - 1) /
                       ((is_of_few ? full_excess_of_few : full_excess) - 1),
                   0.0, 1.0);
    const double at_once = v.room / brief_spread_s;
    const double per_s = std::max(
        std::min(at_once, (1 - excess) * at_once + excess * slowed), 0.0);
    const auto demand = static_cast<double>(use.demand_per_s);
    if (per_s < demand || v.room <= 0)
        v.fraction = demand > 0 && v.room > 0 ? per_s / demand : 0;
    v.fraction = std::min(v.fraction, limit.largest_fraction(v.room, part));
    const double admitted_per_s = v.fraction * demand;
    if (v.room <= 0)
        v.horizon = duration::zero();
    else if (admitted_per_s * to_seconds(longest_horizon) > v.room)
        v.horizon = from_seconds(v.room / admitted_per_s);
    return v;
}

report_group::acknowledgement
report_group::acknowledged(const std::string& address) const
{
    const auto it = reporters_.find(address);
    if (it == reporters_.end())
        return {};
    return {it->second.order.start(), it->second.order.taken()};
}

std::vector<std::string> report_group::heard() const
{
    std::vector<std::string> out;
    for (const auto& [address, r] : reporters_)
        if (r.is_heard)
            out.push_back(address);
    return out;
}

} // namespace lovagegate::quota
