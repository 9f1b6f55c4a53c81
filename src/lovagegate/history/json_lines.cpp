#include "lovagegate/history/json_lines.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <istream>
#include <type_traits>
#include <utility>

namespace lovagegate::history {

namespace {

using nlohmann::json;

constexpr std::string_view invalid = "invalid";

/// @return the text of the enumerator, "invalid" if it is out of range
template <typename Enum, std::size_t Size>
std::string_view text_at(const std::array<std::string_view, Size>& texts,
                         Enum e)
{
    const auto index = static_cast<std::size_t>(e);
    return index < Size ? texts.at(index) : invalid;
}

std::string_view text_of(refusal r)
{
    return to_string(r);
}
std::string_view text_of(request_outcome o)
{
    return to_string(o);
}

std::string_view text_of(node::order_kind k)
{
    constexpr std::array<std::string_view, 2> texts{"load", "unload"};
    return text_at(texts, k);
}

std::string_view text_of(node::order_end e)
{
    constexpr std::array<std::string_view, 4> texts{"done", "failed",
                                                    "stale_token", "unknown"};
    return text_at(texts, e);
}

std::string_view text_of(stage s)
{
    constexpr std::array<std::string_view, 7> texts{
        "begun",  "ready",    "stop_requested", "exited",
        "killed", "isolated", "rejoined"};
    return text_at(texts, s);
}

template <typename Tag>
json to_value(const name<Tag>& n)
{
    return n.str();
}

json to_value(const adapter_version& a)
{
    return a.version.empty() ? a.adapter : to_string(a);
}

template <typename Value>
json to_value(Value v)
{
    if constexpr (std::is_enum_v<Value>) {
        return text_of(v);
    } else {
        return v;
    }
}

template <typename Tag>
void read_value(const json& from, name<Tag>& to)
{
    to = name<Tag>(from.get<std::string>());
}

void read_value(const json& from, adapter_version& to)
{
    const auto text = from.get<std::string>();
    const auto at = text.rfind('@');
    to.adapter = text.substr(0, at);
    to.version = at == std::string::npos ? "" : text.substr(at + 1);
}

template <typename Enum>
Enum enum_from(const std::string& text, std::size_t line)
{
    for (std::uint8_t i = 0; text_of(static_cast<Enum>(i)) != invalid; ++i) {
        if (text_of(static_cast<Enum>(i)) == text) {
            return static_cast<Enum>(i);
        }
    }
    throw bad_line(line, "unknown value " + text);
}

template <typename Value>
void read_value(const json& from, Value& to, std::size_t line)
{
    if constexpr (std::is_enum_v<Value>) {
        to = enum_from<Value>(from.get<std::string>(), line);
    } else if constexpr (std::is_arithmetic_v<Value>) {
        to = from.get<Value>();
    } else {
        read_value(from, to);
    }
}

template <typename Body>
bool read_body(const json& from, event_body& to, std::size_t line)
{
    if (from.at("event").get<std::string>() != Body::name) {
        return false;
    }
    Body body;
    Body::fields(body, [&from, line](const char* key, auto& field) {
        if (const auto found = from.find(key); found != from.end()) {
            read_value(*found, field, line);
        }
    });
    to = std::move(body);
    return true;
}

template <typename... Bodies>
bool read_any(const json& from, std::variant<Bodies...>& to, std::size_t line)
{
    return (read_body<Bodies>(from, to, line) || ...);
}

} // namespace

std::string to_line(const event& e)
{
    json line = {{"at_us", e.at.count()}};
    std::visit(
        [&line]<typename Body>(const Body& body) {
            line["event"] = Body::name;
            Body::fields(body, [&line](const char* key, const auto& field) {
                line[key] = to_value(field);
            });
        },
        e.body);
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

event from_line(std::string_view line, std::size_t number)
{
    try {
        const json from = json::parse(line);
        event e;
        e.at = duration(from.at("at_us").get<duration::rep>());
        if (!read_any(from, e.body, number)) {
            throw bad_line(number, "unknown event type");
        }
        return e;
    } catch (const json::exception& reason) {
        throw bad_line(number, reason.what());
    }
}

void read_lines(std::istream& in, std::vector<event>& events)
{
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (!line.empty()) {
            events.push_back(from_line(line, number));
        }
    }
}

void sort_by_time(std::vector<event>& events)
{
    std::stable_sort(
        events.begin(), events.end(),
        [](const event& a, const event& b) { return a.at < b.at; });
}

} // namespace lovagegate::history
