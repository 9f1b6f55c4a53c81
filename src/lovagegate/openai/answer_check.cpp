#include "lovagegate/openai/answer_check.hpp"

#include "lovagegate/openai/internal/bounded_json.hpp"
#include "lovagegate/openai/request_error.hpp"

namespace lovagegate::openai {

using nlohmann::json;

answer_verdict check_answer(std::string_view text, std::string_view model)
{
    json answer;
    try {
        answer = internal::parse_object(text);
    } catch (const request_error&) {
        return answer_verdict::malformed;
    }
    const auto it = answer.find("model");
    if (it != answer.end() && it->is_string())
        return it->get_ref<const std::string&>() == model
                   ? answer_verdict::matches
                   : answer_verdict::other_model;
    return answer.contains("error") ? answer_verdict::error_object
                                    : answer_verdict::malformed;
}

bool is_model_not_found_error(std::string_view body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error"))
        return false;
    const json& error = answer["error"];
    if (!error.is_object())
        return false;
    const auto code = error.find("code");
    return code != error.end() && *code == "model_not_found";
}

} // namespace lovagegate::openai
