#ifndef LOVAGEGATE_WIRE_INTERNAL_NOTIFICATION_HPP
#define LOVAGEGATE_WIRE_INTERNAL_NOTIFICATION_HPP

#include <json/value.h>

#include <string>

// This header is also compiled as C++14, by notification_cpp14.cpp.
namespace lovagegate {
namespace wire {
namespace internal {

/// Encodes a notification.
/// @param method name of the message type
/// @param parameters fields of the message, an object
/// @return the text of a JSON-RPC 2.0 notification
std::string make_notification(const std::string& method,
                              const Json::Value& parameters);

} // namespace internal
} // namespace wire
} // namespace lovagegate

#endif
