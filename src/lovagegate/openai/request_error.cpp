#include "lovagegate/openai/request_error.hpp"

namespace lovagegate::openai {

namespace {

std::string describe(request_problem problem, std::string_view field)
{
    switch (problem) {
    case request_problem::not_json:
        return "the body is not well-formed JSON in UTF-8";
    case request_problem::too_deep:
        return "the body is nested too deep";
    case request_problem::not_an_object:
        return "the body is not a JSON object";
    case request_problem::missing:
        return "'" + std::string(field) + "' is required";
    case request_problem::wrong_type:
        return "'" + std::string(field) + "' has the wrong type or is empty";
    }
    return "invalid";
}

} // namespace

request_error::request_error(request_problem problem, std::string_view field)
    : error(describe(problem, field)), problem_(problem), field_(field)
{
}

} // namespace lovagegate::openai
