#ifndef LOVAGEGATE_ENGINE_ORDER_REQUEST_HPP
#define LOVAGEGATE_ENGINE_ORDER_REQUEST_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/node/outputs.hpp"

#include <string>
#include <string_view>

namespace lovagegate::engine {

/// Header that carries the fencing token of an order.
inline constexpr std::string_view fencing_header = "X-Fencing-Token";

/// An order as the published LoRA endpoints of engines take it.
struct order_request
{
    std::string path;
    std::string body; ///< JSON
};

/// @param order what the decision core wants done
/// @return path and body of the POST request
[[nodiscard]] order_request make_order_request(const node::order_engine& order);

/// @param status HTTP status of the engine's answer
/// @param body of the answer
/// @return what the answer means for the order
[[nodiscard]] node::order_end
judge_order_answer(const node::order_engine& order, int status,
                   std::string_view body);

/// @param body of a refusal for a stale token
/// @return the highest token that the engine says it has seen, or 0
[[nodiscard]] fencing_token refused_token(std::string_view body);

} // namespace lovagegate::engine

#endif
