#include "lovagegate/history/internal/instance_rules.hpp"

#include <algorithm>
#include <iterator>

namespace lovagegate::history::internal {

namespace {

/// Minimum time between two checks; deadlines need no finer resolution.
constexpr duration check_interval = 100ms;

subject about(const instance_id& i)
{
    return {subject_kind::instance, i.str()};
}

} // namespace

verdict graceful_stop::on(const received& e, duration /*at*/)
{
    open_calls_[{e.instance, e.start}].insert(e.call);
    return {};
}

verdict graceful_stop::on(const answered& e, duration /*at*/)
{
    open_calls_[{e.instance, e.start}].erase(e.call);
    return {};
}

verdict graceful_stop::on(const cut_off& e, duration /*at*/)
{
    const run r{e.instance, e.start};
    open_calls_[r].erase(e.call);
    return stopping_.contains(r) && !e.by_caller ? verdict{about(e.instance)}
                                                 : verdict{};
}

verdict graceful_stop::on(const instance_stage& e, duration /*at*/)
{
    const run r{e.instance, e.start};
    if (e.now == stage::stop_requested) {
        stopping_.insert(r);
    } else if (e.now == stage::killed) {
        stopping_.erase(r);
        open_calls_.erase(r);
    } else if (e.now == stage::exited) {
        stopping_.erase(r);
        const bool cut = !open_calls_[r].empty();
        open_calls_.erase(r);
        return cut ? verdict{about(e.instance)} : verdict{};
    }
    return {};
}

verdict ticket_propagation::on(const ticket_accepted& e, duration at)
{
    if (accepted_.empty() || accepted_.rbegin()->second < e.number) {
        accepted_[at] = e.number;
    }
    return {};
}

verdict ticket_propagation::on(const ticket_in_force& e, duration /*at*/)
{
    auto& m = instances_[e.instance];
    const bool reverted = e.number < m.number;
    m.number = e.number;
    return reverted ? verdict{about(e.instance)} : verdict{};
}

verdict ticket_propagation::on(const instance_stage& e, duration at)
{
    auto& m = instances_[e.instance];
    switch (e.now) {
    case stage::begun:
        m = instance_state{};
        break;
    case stage::ready:
        m.ready = true;
        break;
    case stage::isolated:
        m.isolated = true;
        break;
    case stage::rejoined:
        m.isolated = false;
        m.reachable_since = at;
        break;
    default:
        m.stopping = true;
        break;
    }
    return {};
}

verdict ticket_propagation::advance_to(duration at)
{
    if (at < last_check_ + check_interval) {
        return {};
    }
    last_check_ = at;
    for (const auto& [id, m] : instances_) {
        if (m.ready && !m.isolated && !m.stopping &&
            m.number < required_ticket(m, at)) {
            return about(id);
        }
    }
    return {};
}

ticket_number ticket_propagation::required_ticket(const instance_state& m,
                                                  duration at) const
{
    if (at < m.reachable_since + limit_ && m.reachable_since != duration{}) {
        return 0;
    }
    const auto later = accepted_.upper_bound(at - limit_);
    return later == accepted_.begin() ? 0 : std::prev(later)->second;
}

} // namespace lovagegate::history::internal
