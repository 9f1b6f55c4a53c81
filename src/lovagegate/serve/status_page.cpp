#include "lovagegate/serve/status_page.hpp"

#include <nlohmann/json.hpp>

namespace lovagegate::serve {

namespace {

using nlohmann::json;

std::string_view name_of(protocol::phase p)
{
    switch (p) {
    case protocol::phase::starting:
        return "starting";
    case protocol::phase::ready:
        return "ready";
    case protocol::phase::leaving:
        return "leaving";
    }
    return "invalid";
}

const std::string& text_of(const std::string& name)
{
    return name;
}

template <typename Tag>
const std::string& text_of(const lovagegate::name<Tag>& name)
{
    return name.str();
}

template <typename Map>
void add_objects(json& tickets, const ticket::ticket_book& book,
                 ticket::object_kind kind, const Map& objects)
{
    const std::string kind_name(to_string(kind));
    tickets["objects"][kind_name] = objects.size();
    for (const auto& entry : objects) {
        const std::string& name = text_of(entry.first);
        tickets["in_force"].push_back({{"kind", kind_name},
                                       {"name", name},
                                       {"number", book.number_of(kind, name)}});
    }
}

json ticket_part(const node::node& core, const node::node_status& status)
{
    const ticket::ticket_book& book = core.tickets();
    const ticket::declared_state& state = book.state();
    json tickets{{"highest", status.tickets.highest},
                 {"digest", status.tickets.digest},
                 {"objects", json::object()},
                 {"in_force", json::array()},
                 {"refused", json::array()}};
    add_objects(tickets, book, ticket::object_kind::service, state.services);
    add_objects(tickets, book, ticket::object_kind::adapter, state.adapters);
    add_objects(tickets, book, ticket::object_kind::target, state.targets);
    add_objects(tickets, book, ticket::object_kind::store, state.stores);
    for (const auto& refused : status.refused_tickets)
        tickets["refused"].push_back(
            {{"path", refused.path}, {"expected", refused.expected}});
    return tickets;
}

json engine_part(const ticket::declared_state& state,
                 const pool::pool_status& pool,
                 const pool::engine_status& engine)
{
    json adapters = json::array();
    for (const auto& held : engine.adapters)
        adapters.push_back(to_string(held.adapter));
    json part{{"id", engine.target.str()},
              {"kind", "engine"},
              {"state", engine.usable ? "usable" : "unusable"},
              {"pool", pool.pool.str()},
              {"leases", engine.leases},
              {"fencing_token", engine.token},
              {"adapters", std::move(adapters)}};
    if (const auto it = state.targets.find(engine.target);
        it != state.targets.end())
        part["group"] = it->second.group.str();
    return part;
}

json target_part(const node::node& core, const node::node_status& status)
{
    json targets = json::array();
    for (const auto& pool : status.owned)
        for (const auto& engine : pool.engines)
            targets.push_back(
                engine_part(core.tickets().state(), pool, engine));
    for (const auto& [id, target] : core.tickets().state().targets)
        if (target.kind == ticket::target_kind::plain)
            targets.push_back({{"id", id.str()},
                               {"group", target.group.str()},
                               {"kind", "plain"},
                               {"state", target.leaving ? "leaving" : "live"}});
    return targets;
}

json pool_part(const node::node_status& status)
{
    json pools = json::array();
    for (const auto& p : status.pools)
        pools.push_back({{"pool", p.pool.str()},
                         {"owner", p.owner.str()},
                         {"targets", p.targets}});
    return pools;
}

} // namespace

std::string status_page(const settings::settings& checked,
                        const node::node& core, const counters& counts)
{
    const node::node_status status = core.status();
    json open = json::object();
    for (const auto& [service, n] : status.open_requests)
        open[service.str()] = n;
    const json page{{"instance",
                     {{"name", status.instance.str()},
                      {"failure_domain", checked.instance.failure_domain.str()},
                      {"phase", name_of(status.phase)},
                      {"version", LOVAGEGATE_VERSION},
                      {"listed_instances", status.listed_instances},
                      {"usable_instances", status.usable_instances}}},
                    {"tickets", ticket_part(core, status)},
                    {"targets", target_part(core, status)},
                    {"pools", pool_part(status)},
                    {"open_requests", std::move(open)},
                    {"quarantined", status.quarantined},
                    {"counters", counts.all()}};
    return page.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace lovagegate::serve
