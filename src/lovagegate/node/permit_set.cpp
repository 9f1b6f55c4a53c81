#include "lovagegate/node/permit_set.hpp"

#include "lovagegate/node/pool_set.hpp"

#include <cmath>
#include <utility>

namespace lovagegate::node {
namespace {

constexpr duration rate_update_interval = 500ms;

} // namespace

permit_set::permit_set(instance_id self,
                       const permits::permit_settings& settings,
                       counters& count)
    : self_(std::move(self)), settings_(settings), counters_(count)
{
}

void permit_set::refresh(const ticket::declared_state& state,
                         std::uint64_t revision, const membership::view& view,
                         time_point now)
{
    const bool changed =
        revision != revision_ || view.revision() != view_revision_;
    if (!changed && now < next_rate_update_)
        return;
    // The share of the load rate depends on which instances were heard from
    // recently, which varies also between changes of the view.
    next_rate_update_ = now + rate_update_interval;
    revision_ = revision;
    view_revision_ = view.revision();
    std::erase_if(stores_, [&](const auto& entry) {
        return !state.stores.contains(entry.first);
    });
    for (const auto& [name, limits] : state.stores) {
        store& s = stores_[name];
        if (!s.node)
            s.node = std::make_unique<permits::permit_node>(
                name, self_, settings_, counters_);
        s.node->set_store(limits);
        update_role(name, s, view, now);
    }
}

void permit_set::update_role(const std::string& name, store& s,
                             const membership::view& view, time_point now)
{
    const std::size_t listed = std::max<std::size_t>(view.listed().size(), 1);
    const auto heard = static_cast<std::size_t>(
        std::floor(view.reachable_share() * static_cast<double>(listed)));
    s.node->set_members(listed, heard, now);
    const bool is_permit_node = view.owner_of(permit_key(name)) == self_;
    if (is_permit_node != s.is_permit_node) {
        s.is_permit_node = is_permit_node;
        s.role_since = now;
        s.node->set_role(is_permit_node, now);
    }
}

void permit_set::on_request(const protocol::sender& from,
                            const protocol::permit_request& request,
                            time_point now, outbox& out)
{
    if (const auto it = stores_.find(request.store); it != stores_.end())
        it->second.node->on_permit_request(from, request, now, out);
}

void permit_set::on_return(const protocol::sender& from,
                           const protocol::permit_return& returned,
                           time_point now, outbox& out)
{
    if (const auto it = stores_.find(returned.store); it != stores_.end())
        it->second.node->on_permit_return(from, returned, now, out);
}

void permit_set::tick(time_point now, outbox& out)
{
    for (auto& [name, s] : stores_)
        s.node->tick(now, out);
}

} // namespace lovagegate::node
