#ifndef LOVAGEGATE_STANDINS_COMMON_JSON_ANSWER_HPP
#define LOVAGEGATE_STANDINS_COMMON_JSON_ANSWER_HPP

#include "lovagegate/net/http_exchange.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace lovagegate::standins {

namespace http {
inline constexpr int ok = 200;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int conflict = 409;
inline constexpr int internal_error = 500;
inline constexpr int unavailable = 503;
} // namespace http

/// Sends a JSON answer.
/// @param e where to
/// @param status HTTP status
/// @param body the answer
/// @param headers besides the content type
inline void respond(net::exchange& e, int status, const nlohmann::json& body,
                    net::header_list headers = {})
{
    headers.push_back({"Content-Type", "application/json"});
    e.respond(
        status, headers,
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Sends an error in the shape of the OpenAI API.
inline void respond_error(net::exchange& e, int status, std::string_view code,
                          std::string_view message)
{
    respond(e, status,
            {{"error",
              {{"message", message},
               {"type", "invalid_request_error"},
               {"param", nullptr},
               {"code", code}}}});
}

/// @return the body as JSON; discarded when it is none
[[nodiscard]] inline nlohmann::json body_of(const net::exchange& e)
{
    return nlohmann::json::parse(e.request().body, nullptr, false);
}

/// @return the member when it is there and of that type, else the fallback
template <typename Value>
[[nodiscard]] Value value_or(const nlohmann::json& from, const char* key,
                             Value fallback)
{
    try {
        return from.is_object() ? from.value(key, fallback) : fallback;
    } catch (const nlohmann::json::exception&) {
        return fallback;
    }
}

} // namespace lovagegate::standins

#endif
