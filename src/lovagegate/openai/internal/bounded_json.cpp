#include "lovagegate/openai/internal/bounded_json.hpp"

#include "lovagegate/openai/completion_request.hpp"

namespace lovagegate::openai::internal {

using nlohmann::json;

json parse_object(std::string_view text)
{
    const auto bound = [](int depth, json::parse_event_t, const json&) {
        if (depth > max_nesting)
            throw request_error(request_problem::too_deep, {});
        return true;
    };
    try {
        json value = json::parse(text, bound);
        if (!value.is_object())
            throw request_error(request_problem::not_an_object, {});
        return value;
    } catch (const json::exception&) {
        throw request_error(request_problem::not_json, {});
    }
}

} // namespace lovagegate::openai::internal
