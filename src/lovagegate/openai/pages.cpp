#include "lovagegate/openai/pages.hpp"

#include <nlohmann/json.hpp>

namespace lovagegate::openai {

using nlohmann::json;

std::string error_body(const error_object& e)
{
    json error{{"message", e.message}, {"type", e.type}, {"code", e.code}};
    error["param"] = e.param.empty() ? json() : json(e.param);
    return json{{"error", std::move(error)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::string model_list(std::span<const std::string> models)
{
    json data = json::array();
    for (const std::string& id : models)
        data.push_back({{"id", id},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "lovagegate"}});
    return json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

} // namespace lovagegate::openai
