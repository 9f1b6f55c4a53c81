#ifndef LOVAGEGATE_SETTINGS_ENDPOINT_HPP
#define LOVAGEGATE_SETTINGS_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::settings {

/// An IP address and a TCP port.
struct endpoint
{
    /// Numeric IPv4 or IPv6 address, without brackets.
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// @param text ADDRESS:PORT, an IPv6 address in brackets
/// @return nothing if the address is not numeric or the port not 1 to 65535
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// @return ADDRESS:PORT, an IPv6 address in brackets
[[nodiscard]] std::string to_string(const endpoint& e);

} // namespace lovagegate::settings

#endif
