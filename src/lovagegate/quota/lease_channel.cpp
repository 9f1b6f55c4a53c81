#include "lovagegate/quota/lease_channel.hpp"

#include <algorithm>

namespace lovagegate::quota {

namespace {

/// A report without an answer for this long, or its answer, was lost.
constexpr duration answer_timeout = 100ms;
constexpr double whole_fraction = 10'000;

} // namespace

std::uint64_t lease_channel::on_sent(uses reported, time_point now)
{
    // Reports that no answer can make valid any more.
    while (!sent_.empty() && now - sent_.front().at > lease_time) {
        sent_.pop_front();
        is_acknowledged_ = false;
    }
    sent_.push_back({++sequence_, now, std::move(reported)});
    last_sent_ = now;
    is_urgent = false;
    return sequence_;
}

bool lease_channel::on_share(const gateway::quota_share& share,
                             incarnation own_start)
{
    if (share.report_start != own_start)
        return false;
    const gateway::quota_share* whole = order_.take(share);
    if (whole == nullptr)
        return false;
    const auto report = std::ranges::find(sent_, whole->report_sequence,
                                          &sent_report::sequence);
    if (report == sent_.end())
        return false;
    sent_.erase(sent_.begin(), report);
    is_acknowledged_ = true;
    shares_.clear();
    for (const auto& e : whole->entries)
        shares_.emplace(e.workspace, e);
    reporters_ = std::max(whole->reporters, 1U);
    instances_ = std::max(whole->instances, reporters_);
    return true;
}

bool lease_channel::is_valid(time_point now) const
{
    return is_acknowledged_ && now - sent_.front().at <= lease_time;
}

lease_channel::terms lease_channel::terms_of(const workspace_limit& limit,
                                             const quota_settings& settings,
                                             time_point now) const
{
    const workspace_id id = id_of(limit.name);
    const sent_report& report = sent_.front();
    terms t;
    t.age = now - report.at;
    t.reporters = reporters_;
    t.instances = instances_;
    constexpr double sure_share = 0.5; // of workspaces without an entry
    const double part = static_cast<double>(reporters_) / instances_;
    t.room = sure_share * limit.target(settings) * part;
    t.fraction = limit.largest_fraction(t.room, part);
    if (const auto share = shares_.find(id); share != shares_.end()) {
        t.fraction = std::min(share->second.fraction / whole_fraction, 1.0);
        t.room = static_cast<double>(share->second.room);
        t.horizon = std::chrono::milliseconds(share->second.horizon_ms);
        t.is_busy = true;
    }
    if (const auto it = report.reported.find(id); it != report.reported.end())
        t.reported = it->second;
    return t;
}

bool lease_channel::is_unanswered(time_point now) const
{
    const bool answered = is_acknowledged_ && sent_.size() == 1;
    return last_sent_ && !answered && now - *last_sent_ >= answer_timeout;
}

} // namespace lovagegate::quota
