#ifndef LOVAGEGATE_PLATFORM_REPLIES_HPP
#define LOVAGEGATE_PLATFORM_REPLIES_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/platform/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// Requests to the platform's services and parsers of their responses. Reads
/// are blocking queries: a request states the newest index that is known and
/// is answered when there is a newer one or the wait ends.
namespace lovagegate::platform {

/// Response header with the index of the newest change, sent by both services.
inline constexpr std::string_view index_header = "x-consul-index";

/// @return path of a blocking query for all tickets
/// @param index the newest index known, 0 for none
/// @param wait longest time to wait for a newer index
[[nodiscard]] std::string tickets_path(std::uint64_t index, duration wait);

/// @return path of a blocking query for the list of instances
/// @param index the newest index known, 0 for none
/// @param wait longest time to wait for a newer index
[[nodiscard]] std::string instances_path(std::uint64_t index, duration wait);

/// Parses the response to a query for tickets.
/// @param index value of index_header
/// @param body JSON array of keys with base64 values
/// @throws reply_error if the body does not have the documented format
[[nodiscard]] node::published_tickets parse_tickets(std::uint64_t index,
                                                    std::string_view body);

/// Parses the response to a query for instances.
/// @param index value of index_header
/// @param body JSON array of service entries
/// @throws reply_error if the body does not have the documented format
[[nodiscard]] node::instance_list parse_instances(std::uint64_t index,
                                                  std::string_view body);

} // namespace lovagegate::platform

#endif
