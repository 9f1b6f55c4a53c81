#include "lovagegate/cli/status_page.hpp"

#include "lovagegate/cli/internal/table.hpp"

#include <nlohmann/json.hpp>

namespace lovagegate::cli {

namespace {

using internal::table;
using nlohmann::json;

/// Returns a field as text, or "-" if it is missing: an instance of another
/// release may omit it.
std::string text_of(const json& from, const char* key)
{
    if (!from.is_object() || !from.contains(key) || from[key].is_null()) {
        return "-";
    }
    const json& value = from[key];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

const json& member_of(const json& from, const char* key)
{
    static const json nothing;
    return from.is_object() && from.contains(key) ? from[key] : nothing;
}

std::string join(const json& list)
{
    std::string text;
    for (const json& item : list) {
        text += text.empty() ? "" : " ";
        text += item.is_string() ? item.get<std::string>() : item.dump();
    }
    return text.empty() ? "-" : text;
}

std::string instance_part(const json& status)
{
    const json& i = member_of(status, "instance");
    return "instance " + text_of(i, "name") + " in " +
           text_of(i, "failure_domain") + ", " + text_of(i, "phase") +
           ", version " + text_of(i, "version") + '\n';
}

std::string ticket_part(const json& status)
{
    const json& tickets = member_of(status, "tickets");
    std::string text =
        "\nhighest ticket in force: " + text_of(tickets, "highest") + "\n";
    table counts({"OBJECTS", "IN FORCE"});
    for (const auto& [kind, count] : member_of(tickets, "objects").items()) {
        counts.add({kind, count.dump()});
    }
    text += counts.text();
    constexpr std::size_t max_rows = 40;
    const json& in_force = member_of(tickets, "in_force");
    table objects({"OBJECT", "TICKET"});
    std::size_t rows = 0;
    for (const json& object : in_force) {
        if (++rows <= max_rows) {
            objects.add(
                {text_of(object, "kind") + '/' + text_of(object, "name"),
                 text_of(object, "number")});
        }
    }
    text += rows == 0 ? "" : '\n' + objects.text();
    if (rows > max_rows) {
        text +=
            "and " + std::to_string(rows - max_rows) + " more, see --json\n";
    }
    for (const json& refused : member_of(tickets, "refused")) {
        text += "refused ticket: " + text_of(refused, "path") + ": expected " +
                text_of(refused, "expected") + '\n';
    }
    return text;
}

std::string target_part(const json& status)
{
    table targets(
        {"TARGET", "GROUP", "KIND", "STATE", "POOL", "LEASES", "HOLDS"});
    for (const json& t : member_of(status, "targets")) {
        targets.add({text_of(t, "id"), text_of(t, "group"), text_of(t, "kind"),
                     text_of(t, "state"), text_of(t, "pool"),
                     text_of(t, "leases"), join(member_of(t, "adapters"))});
    }
    table pools({"POOL", "OWNER", "TARGETS"});
    for (const json& p : member_of(status, "pools")) {
        pools.add(
            {text_of(p, "pool"), text_of(p, "owner"), text_of(p, "targets")});
    }
    return '\n' + targets.text() + '\n' + pools.text();
}

std::string count_part(const json& status)
{
    table open({"SERVICE", "OPEN REQUESTS"});
    for (const auto& [service, n] :
         member_of(status, "open_requests").items()) {
        open.add({service, n.dump()});
    }
    table counts({"COUNTER", "COUNT"});
    for (const auto& [name, n] : member_of(status, "counters").items()) {
        counts.add({name, n.dump()});
    }
    return '\n' + open.text() + '\n' + counts.text();
}

} // namespace

std::string status_page(std::string_view text)
{
    const json status = json::parse(text, nullptr, false);
    if (!status.is_object()) {
        throw status_error("the answer is not a JSON object");
    }
    return instance_part(status) + ticket_part(status) + target_part(status) +
           count_part(status);
}

} // namespace lovagegate::cli
