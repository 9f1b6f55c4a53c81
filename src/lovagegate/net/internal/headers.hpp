#ifndef LOVAGEGATE_NET_INTERNAL_HEADERS_HPP
#define LOVAGEGATE_NET_INTERNAL_HEADERS_HPP

#include "lovagegate/net/http_types.hpp"

#include <libwebsockets.h>
#include <span>

namespace lovagegate::net::internal {

/// @return the headers that libwebsockets has parsed on this connection
[[nodiscard]] header_map read_headers(lws* wsi);

/// @return the query arguments of the request, joined by '&'
[[nodiscard]] std::string read_query(lws* wsi);

/// Checks headers for CR, LF and NUL.
/// @throws header_error if a name or value contains one of these
void check_headers(const header_list& headers);

/// Formats the head of a response.
/// @throws header_error if it exceeds the size limit or a header contains a
/// forbidden character
[[nodiscard]] std::string response_head_text(lws* wsi, int status,
                                             const header_list& headers);

/// Appends headers to a request that libwebsockets is about to send.
/// @param at write position in the buffer of libwebsockets; advanced
/// @param space bytes left in the buffer
/// @return false if they do not fit
[[nodiscard]] bool append_headers(lws* wsi, const header_list& headers,
                                  unsigned char** at, std::size_t space);

} // namespace lovagegate::net::internal

#endif
