#include "lovagegate/settings/endpoint.hpp"

#include "lovagegate/settings/units.hpp"

#include <arpa/inet.h>
#include <limits>

namespace lovagegate::settings {

namespace {

bool is_ip_address(int family, const std::string& address)
{
    in6_addr parsed{};
    return inet_pton(family, address.c_str(), &parsed) == 1;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const auto port = parse_count(text.substr(colon + 1));
    if (!port || *port == 0 ||
        *port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    int family = AF_INET;
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
        family = AF_INET6;
    }
    endpoint found{std::string(address), static_cast<std::uint16_t>(*port)};
    if (!is_ip_address(family, found.address)) {
        return std::nullopt;
    }
    return found;
}

std::string to_string(const endpoint& e)
{
    const bool v6 = e.address.find(':') != std::string::npos;
    return (v6 ? '[' + e.address + ']' : e.address) + ':' +
           std::to_string(e.port);
}

} // namespace lovagegate::settings
