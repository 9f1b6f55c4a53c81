#include "tests/sim/site.hpp"

#include <nlohmann/json.hpp>

namespace lovagegate::sim {

namespace {

using nlohmann::json;

constexpr int first_port = 9000;

json versions_json(std::size_t versions)
{
    json list = json::array();
    for (std::size_t v = versions; v > 0; --v) {
        list.push_back(std::to_string(v));
    }
    return list;
}

json adapter_json(std::size_t versions)
{
    if (versions == 0) {
        return nullptr;
    }
    return {{"model", "base"},
            {"versions", versions_json(versions)},
            {"services", json::array({"drafts"})}};
}

json target_json(std::size_t place, std::size_t engines, bool leaving)
{
    const bool engine = place < engines;
    json t = {{"group", engine ? "engines" : "desk"},
              {"kind", engine ? "engine" : "plain"},
              {"address", "127.0.0.1"},
              {"port", first_port + static_cast<int>(place)},
              {"failure_domain", "d"},
              {"state", leaving ? "leaving" : "serving"}};
    if (engine) {
        t["model"] = "base";
        t["slots"] = engine_slots;
        t["max_running"] = 8;
        t["checks_fencing"] = checks_fencing(place);
    }
    return t;
}

} // namespace

std::string first_ticket(std::size_t engines, std::size_t plain)
{
    json t = {{"ticket", 1}};
    t["services"]["drafts"] = {{"group", "engines"}};
    t["services"]["hours"] = {
        {"group", "desk"},
        {"routes", json::array({{{"method", "POST"}, {"path", "/signoff"}},
                                {{"method", "GET"},
                                 {"path", "/roster"},
                                 {"idempotent", true}}})}};
    for (std::size_t a = 0; a < adapter_count; ++a) {
        t["adapters"]["a" + std::to_string(a)] = adapter_json(1);
    }
    for (std::size_t p = 0; p < engines + plain; ++p) {
        t["targets"][target_name(p, engines).str()] =
            target_json(p, engines, false);
    }
    t["stores"]["weights"] = {{"loads_per_second", store_rate},
                              {"at_full_speed", 2},
                              {"in_transit", 4}};
    return t.dump();
}

std::string adapter_ticket(ticket_number number, const std::string& adapter,
                           std::size_t versions)
{
    json t = {{"ticket", number}};
    t["adapters"][adapter] = adapter_json(versions);
    return t.dump();
}

std::string target_ticket(ticket_number number, std::size_t place,
                          std::size_t engines, bool leaving)
{
    json t = {{"ticket", number}};
    t["targets"][target_name(place, engines).str()] =
        target_json(place, engines, leaving);
    return t.dump();
}

} // namespace lovagegate::sim
