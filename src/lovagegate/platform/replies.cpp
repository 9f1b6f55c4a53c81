#include "lovagegate/platform/replies.hpp"

#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace lovagegate::platform {
namespace {

using nlohmann::json;

/// @return parameters of a blocking query
std::string query(std::uint64_t index, duration wait)
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(wait).count();
    return "index=" + std::to_string(index) +
           "&wait=" + std::to_string(seconds) + "s";
}

/// @throws reply_error if the text is not valid base64
std::string decode_base64(const std::string& text)
{
    constexpr std::size_t quantum = 4; // characters that encode 3 bytes
    if (text.size() % quantum != 0 ||
        text.size() > std::numeric_limits<int>::max())
        throw reply_error("a ticket value is not valid base64");
    std::string bytes(text.size() / quantum * 3, '\0');
    const int n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (n < 0)
        throw reply_error("a ticket value is not valid base64");
    std::size_t padding = 0;
    if (text.ends_with("=="))
        padding = 2;
    else if (text.ends_with('='))
        padding = 1;
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

/// @throws reply_error if the body is not a JSON array
json parse_list(std::string_view body)
{
    json list = json::parse(body, nullptr, /*allow_exceptions=*/false);
    if (!list.is_array())
        throw reply_error("the response is not a JSON array");
    return list;
}

/// @throws reply_error if a field is out of range or empty
/// @throws json::exception if a field is missing or has a wrong type
/// @throws std::logic_error if peer_port is not a number
node::listed_instance parse_instance(const json& entry)
{
    const json& service = entry.at("Service");
    const json& meta = service.at("Meta");
    node::listed_instance i;
    i.id = instance_id(service.at("ID").get<std::string>());
    i.address = service.at("Address").get<std::string>();
    const int port = std::stoi(meta.at("peer_port").get<std::string>());
    if (port < 1 || port > std::numeric_limits<std::uint16_t>::max())
        throw reply_error("peer_port of " + i.id.str() + " is out of range");
    i.peer_port = static_cast<std::uint16_t>(port);
    i.domain = failure_domain(meta.value("failure_domain", std::string()));
    i.leaving = meta.value("phase", std::string("live")) == "leaving";
    if (i.id.empty())
        throw reply_error("an instance entry has an empty ID");
    return i;
}

} // namespace

std::string tickets_path(std::uint64_t index, duration wait)
{
    return "/v1/kv/tickets/?recurse=1&" + query(index, wait);
}

std::string instances_path(std::uint64_t index, duration wait)
{
    return "/v1/health/service/lovagegate?" + query(index, wait);
}

node::published_tickets parse_tickets(std::uint64_t index,
                                      std::string_view body)
{
    node::published_tickets published;
    published.index = index;
    for (const json& entry : parse_list(body)) {
        if (!entry.is_object() || !entry.contains("Value") ||
            !entry["Value"].is_string())
            throw reply_error("a ticket entry has no string \"Value\"");
        published.tickets.push_back(
            decode_base64(entry["Value"].get_ref<const std::string&>()));
    }
    return published;
}

node::instance_list parse_instances(std::uint64_t index, std::string_view body)
{
    node::instance_list list;
    list.index = index;
    for (const json& entry : parse_list(body)) {
        try {
            list.instances.push_back(parse_instance(entry));
        } catch (const json::exception& e) {
            throw reply_error(std::string("invalid instance entry: ") +
                              e.what());
        } catch (const std::logic_error&) {
            throw reply_error("peer_port is not a number");
        }
    }
    return list;
}

} // namespace lovagegate::platform
