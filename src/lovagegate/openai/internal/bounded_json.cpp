#include "lovagegate/openai/internal/bounded_json.hpp"

#include "lovagegate/openai/completion_request.hpp"

namespace lovagegate::openai::internal {

using nlohmann::json;

json parse_object(std::string_view text)
{
    const auto check_depth = [](int depth, json::parse_event_t, const json&) {
        if (depth > max_nesting_depth)
            throw request_error(request_problem::too_deep, {});
        return true;
    };
    try {
        json value = json::parse(text, check_depth);
        if (!value.is_object())
            throw request_error(request_problem::not_an_object, {});
        return value;
    } catch (const json::exception&) {
        throw request_error(request_problem::not_json, {});
    }
}

} // namespace lovagegate::openai::internal
