#include "lovagegate/engine/order_request.hpp"

#include <nlohmann/json.hpp>

namespace lovagegate::engine {
namespace {

constexpr int http_ok = 200;
constexpr int http_redirection = 300;
constexpr int http_conflict = 409;

} // namespace

order_request make_order_request(const node::order_engine& order)
{
    const std::string name = to_string(order.adapter);
    if (order.kind == node::order_kind::unload)
        return {"/v1/unload_lora_adapter",
                nlohmann::json{{"lora_name", name}}.dump()};
    return {"/v1/load_lora_adapter",
            nlohmann::json{{"lora_name", name}, {"lora_path", name}}.dump()};
}

node::order_end judge_order_answer(const node::order_engine& order, int status,
                                   std::string_view body)
{
    if (status >= http_ok && status < http_redirection)
        return node::order_end::done;
    if (status == http_conflict && refused_token(body) > 0)
        return node::order_end::stale_token;
    // Both orders are idempotent: an engine that reports the requested state as
    // already present has carried out the order.
    const bool load = order.kind == node::order_kind::load;
    const std::string_view already =
        load ? "has already been loaded" : "cannot be found";
    if (body.find(already) != std::string_view::npos)
        return node::order_end::done;
    return node::order_end::failed;
}

fencing_token refused_token(std::string_view body)
{
    const auto answer =
        nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
    if (!answer.is_object())
        return 0;
    const auto it = answer.find("highest_fencing_token");
    return it != answer.end() && it->is_number_unsigned()
               ? it->get<fencing_token>()
               : 0;
}

} // namespace lovagegate::engine
