#include "lovagegate/ownership/order_watch.hpp"

#include <algorithm>

namespace lovagegate::ownership {

namespace {

/// A call of an engine lasts 0.7 s at most and reports lag by 0.1 s, so an own
/// order that no report has shown after this time was not accepted.
constexpr duration own_order_timeout = 2500ms;

} // namespace

bool order_watch::on_report(std::string_view engine, std::int64_t run,
                            std::uint64_t sequence, time_point now)
{
    const auto known = engines_.find(engine);
    if (known == engines_.end() || known->second.run != run) {
        // An order may have been sent just before this report.
        engines_[std::string(engine)] = {run, sequence, 0, {}, now};
        return false;
    }
    watched& w = known->second;
    if (now - w.last_own_order > own_order_timeout)
        w.own_orders = 0;
    if (sequence <= w.sequence)
        return false; // a delayed report
    const std::uint64_t added = sequence - w.sequence;
    const bool foreign = added > w.own_orders;
    w.sequence = sequence;
    w.own_orders -= std::min(added, w.own_orders);
    if (foreign)
        w.last_foreign_order = now;
    return foreign;
}

void order_watch::on_order_sent(std::string_view engine, time_point now)
{
    const auto it = engines_.find(engine);
    if (it == engines_.end())
        return;
    ++it->second.own_orders;
    it->second.last_own_order = now;
}

void order_watch::on_order_failed(std::string_view engine)
{
    const auto it = engines_.find(engine);
    if (it != engines_.end() && it->second.own_orders > 0)
        --it->second.own_orders;
}

std::optional<time_point>
order_watch::last_foreign_order(std::string_view engine) const
{
    const auto it = engines_.find(engine);
    return it == engines_.end() ? std::nullopt : it->second.last_foreign_order;
}

} // namespace lovagegate::ownership
