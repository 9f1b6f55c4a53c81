#include "lovagegate/ticket/ticket_parser.hpp"

#include "lovagegate/ticket/internal/object_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>
#include <vector>

namespace lovagegate::ticket {

namespace {

using internal::check_name;
using internal::extend;
using internal::object_reader;
using nlohmann::json;

constexpr std::uint64_t max_number = 1'000'000'000'000;
constexpr std::uint64_t max_open_limit = 1'000'000;
constexpr std::uint64_t max_slots = 10'000;
constexpr std::uint64_t max_running_limit = 100'000;
constexpr std::uint64_t max_port = 65'535;
constexpr std::size_t max_path_bytes = 1'000;

priority read_priority(object_reader& r, priority fallback)
{
    const std::string text = r.text_or("priority", to_string(fallback));
    for (const priority p :
         {priority::interactive, priority::normal, priority::batch})
        if (text == to_string(p))
            return p;
    throw parse_error(parse_failure::bad_value, r.path_of("priority"),
                      "interactive, normal or batch");
}

std::string read_name(object_reader& r, std::string_view key)
{
    std::string text = r.text(key);
    check_name(text, r.path_of(key));
    return text;
}

route read_route(const json& value, const std::string& path, priority fallback)
{
    object_reader r(value, path);
    route result;
    result.method = r.text("method");
    constexpr std::array<std::string_view, 5> methods{"GET", "POST", "PUT",
                                                      "DELETE", "PATCH"};
    if (std::find(methods.begin(), methods.end(), result.method) ==
        methods.end())
        throw parse_error(parse_failure::bad_value, r.path_of("method"),
                          "GET, POST, PUT, DELETE or PATCH");
    result.path = r.text("path");
    if (result.path.empty() || result.path.front() != '/' ||
        result.path.size() > max_path_bytes)
        throw parse_error(parse_failure::bad_value, r.path_of("path"),
                          "a path that begins with / and has at most 1000 "
                          "bytes");
    result.idempotent = r.bool_or("idempotent", false);
    result.importance = read_priority(r, fallback);
    r.reject_unknown_keys();
    return result;
}

service read_service(const json& value, const std::string& path)
{
    object_reader r(value, path);
    service result;
    result.group = target_group(read_name(r, "group"));
    result.importance = read_priority(r, result.importance);
    result.max_open = r.unsigned_integer_or("max_open", 0, 0, max_open_limit);
    result.completions_idempotent = r.bool_or("completions_idempotent", true);
    if (r.has("routes")) {
        const json& routes = r.at("routes");
        if (!routes.is_array())
            throw parse_error(parse_failure::wrong_type, r.path_of("routes"),
                              "a list of routes");
        for (std::size_t i = 0; i < routes.size(); ++i)
            result.routes.push_back(read_route(
                routes[i], extend(r.path_of("routes"), std::to_string(i)),
                result.importance));
    }
    r.reject_unknown_keys();
    return result;
}

adapter read_adapter(const json& value, const std::string& path)
{
    object_reader r(value, path);
    adapter result;
    result.model = read_name(r, "model");
    result.versions = r.name_list("versions", true);
    for (std::string& name : r.name_list("services", false))
        result.services.emplace(std::move(name));
    r.reject_unknown_keys();
    return result;
}

/// @return whether the text is an IPv4 address without leading zeros, which
/// some libraries read as octal
bool is_ipv4(std::string_view text)
{
    int parts = 0;
    while (parts < 4) {
        const std::size_t end = std::min(text.find('.'), text.size());
        const std::string_view part = text.substr(0, end);
        if (part.empty() || part.size() > 3 ||
            (part.size() > 1 && part.front() == '0'))
            return false;
        int value = 0;
        for (const char c : part) {
            if (c < '0' || c > '9')
                return false;
            value = value * 10 + (c - '0');
        }
        if (value > 255)
            return false;
        ++parts;
        if (end == text.size())
            return parts == 4;
        text.remove_prefix(end + 1);
    }
    return false;
}

target_kind read_kind(object_reader& r)
{
    const std::string text = r.text_or("kind", "engine");
    if (text == "engine")
        return target_kind::engine;
    if (text == "plain")
        return target_kind::plain;
    throw parse_error(parse_failure::bad_value, r.path_of("kind"),
                      "engine or plain");
}

bool read_leaving(object_reader& r)
{
    const std::string text = r.text_or("state", "serving");
    if (text != "serving" && text != "leaving")
        throw parse_error(parse_failure::bad_value, r.path_of("state"),
                          "serving or leaving");
    return text == "leaving";
}

target read_target(const json& value, const std::string& path)
{
    object_reader r(value, path);
    target result;
    result.group = target_group(read_name(r, "group"));
    result.kind = read_kind(r);
    result.address = r.text("address");
    if (!is_ipv4(result.address))
        throw parse_error(parse_failure::bad_value, r.path_of("address"),
                          "an IPv4 address such as 192.0.2.7");
    result.port = std::uint16_t(r.unsigned_integer("port", 1, max_port));
    result.domain = failure_domain(read_name(r, "failure_domain"));
    if (result.kind == target_kind::engine)
        result.model = read_name(r, "model");
    result.slots = r.unsigned_integer_or("slots", result.slots, 1, max_slots);
    result.max_running = r.unsigned_integer_or(
        "max_running", result.max_running, 1, max_running_limit);
    result.checks_fencing = r.bool_or("checks_fencing", false);
    result.leaving = read_leaving(r);
    r.reject_unknown_keys();
    return result;
}

weight_store read_store(const json& value, const std::string& path)
{
    object_reader r(value, path);
    weight_store result;
    result.loads_per_second =
        r.number_or("loads_per_second", result.loads_per_second, 0.001, 10'000);
    result.at_full_speed = r.unsigned_integer_or(
        "at_full_speed", result.at_full_speed, 1, max_slots);
    result.in_transit =
        r.unsigned_integer_or("in_transit", result.in_transit, 1, max_slots);
    r.reject_unknown_keys();
    return result;
}

template <typename Map, typename Read>
void read_section(object_reader& ticket, std::string_view key, Map& into,
                  Read read)
{
    if (!ticket.has(key))
        return;
    const std::string path = ticket.path_of(key);
    const json& section = ticket.at(key);
    const object_reader shape(section, path);
    for (const auto& [object, value] : section.items()) {
        const std::string object_path = extend(path, object);
        check_name(object, object_path);
        auto& slot = into[typename Map::key_type(object)];
        if (!value.is_null())
            slot = read(value, object_path);
    }
}

/// Refuses objects with duplicate keys. nlohmann's parser would silently use
/// the last one, which may not be the one that the operator meant.
class duplicate_key_check
{
public:
    bool operator()(int /*depth*/, json::parse_event_t event, json& parsed)
    {
        if (event == json::parse_event_t::object_start) {
            keys_.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            keys_.pop_back();
        } else if (event == json::parse_event_t::key) {
            const auto& key = parsed.get_ref<const std::string&>();
            if (!keys_.back().insert(key).second)
                throw parse_error(parse_failure::duplicate_key, extend("", key),
                                  "each key once in an object");
        }
        return true;
    }

private:
    std::vector<std::set<std::string>> keys_;
};

json read_json(std::string_view text)
{
    if (text.size() > max_ticket_bytes)
        throw parse_error(parse_failure::too_large, "", "at most 1 MB");
    try {
        return json::parse(text, duplicate_key_check());
    } catch (const json::exception& e) {
        throw parse_error(parse_failure::not_json, "",
                          std::string("a JSON text: ") + e.what());
    }
}

} // namespace

parse_error::parse_error(parse_failure failure, std::string path,
                         std::string expected)
    : error("ticket at '" + path + "': expected " + expected + " (" +
            std::string(to_string(failure)) + ")"),
      failure_(failure), path_(std::move(path)), expected_(std::move(expected))
{
}

std::string_view to_string(parse_failure f) noexcept
{
    switch (f) {
    case parse_failure::too_large:
        return "too_large";
    case parse_failure::not_json:
        return "not_json";
    case parse_failure::wrong_type:
        return "wrong_type";
    case parse_failure::out_of_range:
        return "out_of_range";
    case parse_failure::unknown_key:
        return "unknown_key";
    case parse_failure::missing_key:
        return "missing_key";
    case parse_failure::duplicate_key:
        return "duplicate_key";
    case parse_failure::bad_value:
        return "bad_value";
    case parse_failure::empty:
        return "empty";
    }
    return "invalid";
}

change_ticket parse(std::string_view text)
{
    const json value = read_json(text);
    object_reader r(value, "");
    change_ticket result;
    result.number = r.unsigned_integer("ticket", 1, max_number);
    read_section(r, "services", result.services, read_service);
    read_section(r, "adapters", result.adapters, read_adapter);
    read_section(r, "targets", result.targets, read_target);
    read_section(r, "stores", result.stores, read_store);
    r.reject_unknown_keys();
    if (result.size() == 0)
        throw parse_error(parse_failure::empty, "",
                          "at least one service, adapter, target or store");
    return result;
}

} // namespace lovagegate::ticket
