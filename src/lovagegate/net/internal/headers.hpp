#ifndef LOVAGEGATE_NET_INTERNAL_HEADERS_HPP
#define LOVAGEGATE_NET_INTERNAL_HEADERS_HPP

#include "lovagegate/net/http_types.hpp"

#include <libwebsockets.h>
#include <span>

namespace lovagegate::net::internal {

/// @return the headers that the library has parsed on this connection
[[nodiscard]] header_map read_headers(lws* wsi);

/// @return the query arguments of the request, joined by '&'
[[nodiscard]] std::string read_query(lws* wsi);

/// @throws header_error if a name or value holds a forbidden character
void check_headers(const header_list& headers);

/// Writes the head of a response.
/// @throws header_error if it is larger than the bound or not well formed
[[nodiscard]] std::string response_head_text(lws* wsi, int status,
                                             const header_list& headers);

/// Appends headers to a request that the library is about to send.
/// @param at where the library's buffer goes on; advanced
/// @param space bytes left in the buffer
/// @return false if they do not fit
[[nodiscard]] bool append_headers(lws* wsi, const header_list& headers,
                                  unsigned char** at, std::size_t space);

} // namespace lovagegate::net::internal

#endif
