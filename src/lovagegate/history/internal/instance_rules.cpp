#include "lovagegate/history/internal/instance_rules.hpp"

#include <algorithm>
#include <iterator>

namespace lovagegate::history::internal {

namespace {

/// Deadlines need no finer resolution than this.
constexpr duration check_interval = 100ms;

subject about(const instance_id& i)
{
    return {subject_kind::instance, i.str()};
}

} // namespace

verdict graceful_stop::on(const received& e, duration /*at*/)
{
    open_[{e.instance, e.start}].insert(e.call);
    return {};
}

verdict graceful_stop::on(const answered& e, duration /*at*/)
{
    open_[{e.instance, e.start}].erase(e.call);
    return {};
}

verdict graceful_stop::on(const cut_off& e, duration /*at*/)
{
    const run r{e.instance, e.start};
    open_[r].erase(e.call);
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
        open_.erase(r);
    } else if (e.now == stage::exited) {
        stopping_.erase(r);
        const bool cut = !open_[r].empty();
        open_.erase(r);
        return cut ? verdict{about(e.instance)} : verdict{};
    }
    return {};
}

verdict tickets_hold::on(const ticket_accepted& e, duration at)
{
    if (accepted_.empty() || accepted_.rbegin()->second < e.number) {
        accepted_[at] = e.number;
    }
    return {};
}

verdict tickets_hold::on(const ticket_in_force& e, duration /*at*/)
{
    auto& m = members_[e.instance];
    const bool reverted = e.number < m.number;
    m.number = e.number;
    return reverted ? verdict{about(e.instance)} : verdict{};
}

verdict tickets_hold::on(const instance_stage& e, duration at)
{
    auto& m = members_[e.instance];
    switch (e.now) {
    case stage::begun:
        m = member{};
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

verdict tickets_hold::until(duration at)
{
    if (at < checked_ + check_interval) {
        return {};
    }
    checked_ = at;
    for (const auto& [id, m] : members_) {
        if (m.ready && !m.isolated && !m.stopping && m.number < due(m, at)) {
            return about(id);
        }
    }
    return {};
}

ticket_number tickets_hold::due(const member& m, duration at) const
{
    if (at < m.reachable_since + limit_ && m.reachable_since != duration{}) {
        return 0;
    }
    const auto later = accepted_.upper_bound(at - limit_);
    return later == accepted_.begin() ? 0 : std::prev(later)->second;
}

} // namespace lovagegate::history::internal
