#ifndef LOVAGEGATE_ENGINE_ORDER_REQUEST_HPP
#define LOVAGEGATE_ENGINE_ORDER_REQUEST_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"

#include <string>
#include <string_view>

namespace lovagegate::engine {

/// Header that carries the fencing token of an order.
inline constexpr std::string_view fencing_header = "X-Fencing-Token";

/// An HTTP request to the LoRA endpoints of an engine.
struct order_request
{
    std::string path;
    std::string body; ///< JSON
};

/// Converts an order to an HTTP request.
/// @param order from the decision core
/// @return path and body of the POST request
[[nodiscard]] order_request make_order_request(const node::order_engine& order);

/// Derives the outcome of an order from the engine's response.
/// @param order that the engine received
/// @param status HTTP status of the response
/// @param body of the response
[[nodiscard]] node::order_end
judge_order_answer(const node::order_engine& order, int status,
                   std::string_view body);

/// @param body of a response that rejects a stale fencing token
/// @return the highest fencing token that the engine reports, or 0 if none
[[nodiscard]] fencing_token refused_token(std::string_view body);

} // namespace lovagegate::engine

#endif
