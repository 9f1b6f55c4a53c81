#ifndef LOVAGEGATE_NET_HTTP_TYPES_HPP
#define LOVAGEGATE_NET_HTTP_TYPES_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagegate::net {

/// Received headers, by lower-case name.
using header_map = std::map<std::string, std::string, std::less<>>;

/// One header to send.
struct header
{
    std::string name;
    std::string value;
};

/// Headers to send, in order.
using header_list = std::vector<header>;

/// Headers unknown to libwebsockets that are read from requests and responses,
/// in lower case. Other unknown headers are ignored.
inline constexpr std::array<std::string_view, 15> extension_headers{
    "x-request-id",         "x-request-issued",
    "x-priority",           "x-deadline-ms",
    "x-lovagegate-service", "x-lovagegate-outcome",
    "x-consul-index",       "x-not-run",
    "x-fencing-token",      "x-adapter",
    "x-served-by",          "x-run-count",
    "x-idempotency-key",    "idempotency-key",
    "x-engine-incarnation"};

/// One complete request, as received.
struct http_request
{
    std::string method; ///< upper case
    std::string path;   ///< without the query, percent-decoded
    std::string query;  ///< arguments joined by '&', percent-encoded
    header_map headers; ///< see extension_headers
    std::string body;
    std::string peer; ///< IP address of the caller

    /// @param name lower-case header name
    /// @return its value, empty if it is absent
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// @param name of a query argument
    /// @return its value, empty if it is absent
    [[nodiscard]] std::string_view argument(std::string_view name) const;
};

/// @param text path or query argument
/// @return the text with all characters except letters, digits and "-._~/:=,@"
/// percent-encoded
[[nodiscard]] std::string percent_encode(std::string_view text);

/// Status and headers of a response, as received.
struct response_head
{
    int status = 0;
    header_map headers;

    /// @copydoc http_request::header
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

} // namespace lovagegate::net

#endif
