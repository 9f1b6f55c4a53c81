#include "lovagegate/history/internal/target_rules.hpp"

#include <algorithm>

namespace lovagegate::history::internal {

namespace {

subject about(const request_id& r)
{
    return {subject_kind::request, r.str()};
}
subject about(const target_id& t)
{
    return {subject_kind::target, t.str()};
}

} // namespace

verdict exact_adapter::on(const received& e, duration /*at*/)
{
    auto& requested = requested_adapters_[e.request];
    if (requested.adapter.empty() || requested.version.empty()) {
        requested = e.adapter;
    }
    return {};
}

verdict exact_adapter::on(const started& e, duration /*at*/)
{
    return compare(e.request, e.adapter);
}

verdict exact_adapter::on(const answered& e, duration /*at*/)
{
    if (e.outcome != request_outcome::completed || e.adapter.adapter.empty()) {
        return {};
    }
    return compare(e.request, e.adapter);
}

verdict exact_adapter::compare(const request_id& request,
                               const adapter_version& actual)
{
    const auto found = requested_adapters_.find(request);
    if (found == requested_adapters_.end() ||
        found->second.adapter != actual.adapter) {
        return about(request);
    }
    if (found->second.version.empty()) {
        found->second.version = actual.version;
    }
    return found->second == actual ? verdict{} : verdict{about(request)};
}

verdict no_eviction_in_use::on(const started& e, duration /*at*/)
{
    running_requests_[{e.target, e.target_start}].emplace(e.adapter, e.request);
    return {};
}

verdict no_eviction_in_use::on(const finished& e, duration /*at*/)
{
    auto& runs = running_requests_[{e.target, e.target_start}];
    const auto found =
        std::find_if(runs.begin(), runs.end(),
                     [&e](const auto& r) { return r.second == e.request; });
    if (found != runs.end()) {
        runs.erase(found);
    }
    return {};
}

verdict no_eviction_in_use::on(const evicted& e, duration /*at*/)
{
    const auto runs = running_requests_.find({e.target, e.target_start});
    if (runs != running_requests_.end() && runs->second.contains(e.adapter)) {
        return about(e.target);
    }
    return {};
}

verdict no_eviction_in_use::on(const target_crashed& e, duration /*at*/)
{
    running_requests_.erase({e.target, e.target_start});
    return {};
}

verdict leaving_target::on(const target_leaving& e, duration at)
{
    if (e.leaving) {
        leaving_since_.try_emplace(e.target, at);
    } else {
        leaving_since_.erase(e.target);
    }
    return {};
}

verdict leaving_target::on(const instance_stage& e, duration at)
{
    if (e.now == stage::isolated) {
        isolated_.insert(e.instance);
    } else if (e.now == stage::rejoined || e.now == stage::begun) {
        isolated_.erase(e.instance);
        rejoined_at_[e.instance] = at;
    }
    return {};
}

verdict leaving_target::on(const sent& e, duration at)
{
    const auto notice = leaving_since_.find(e.target);
    if (notice == leaving_since_.end() || isolated_.contains(e.instance)) {
        return {};
    }
    duration known = notice->second;
    if (const auto back = rejoined_at_.find(e.instance);
        back != rejoined_at_.end()) {
        known = std::max(known, back->second);
    }
    return at > known + limit_ ? verdict{about(e.target)} : verdict{};
}

store_rate::store_rate(double per_second, duration window)
    : max_loads_(static_cast<std::size_t>(per_second * to_seconds(window))),
      window_(window)
{
}

verdict store_rate::on(const load_started& e, duration at)
{
    if (max_loads_ == 0) {
        return {};
    }
    while (!load_times_.empty() && load_times_.front() <= at - window_) {
        load_times_.pop_front();
    }
    load_times_.push_back(at);
    return load_times_.size() > max_loads_ ? verdict{about(e.target)}
                                           : verdict{};
}

verdict crash_bound::on(const target_crashed& e, duration /*at*/)
{
    if (e.print == 0) {
        return {};
    }
    return ++crash_counts_[e.print] > limit_ ? verdict{about(e.target)}
                                             : verdict{};
}

} // namespace lovagegate::history::internal
