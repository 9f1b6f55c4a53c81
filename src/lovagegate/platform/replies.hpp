#ifndef LOVAGEGATE_PLATFORM_REPLIES_HPP
#define LOVAGEGATE_PLATFORM_REPLIES_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/platform/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// The platform's interfaces have the form of blocking queries: a read names
/// the index that it knows and is answered when there is a newer one.
namespace lovagegate::platform {

/// Header in which both services answer the index of their newest change.
inline constexpr std::string_view index_header = "x-consul-index";

/// @param index the newest index known, 0 for none
/// @param wait longest time to wait for a newer one
[[nodiscard]] std::string tickets_path(std::uint64_t index, duration wait);

/// @copydoc tickets_path
[[nodiscard]] std::string instances_path(std::uint64_t index, duration wait);

/// @param index of the answer's header
/// @param body JSON list of keys with base64 values
/// @throws reply_error when it is not of the published form
[[nodiscard]] node::published_tickets parse_tickets(std::uint64_t index,
                                                    std::string_view body);

/// @param index of the answer's header
/// @param body JSON list of service entries
/// @throws reply_error when it is not of the published form
[[nodiscard]] node::instance_list parse_instances(std::uint64_t index,
                                                  std::string_view body);

} // namespace lovagegate::platform

#endif
