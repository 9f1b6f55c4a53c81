#ifndef LOVAGEGATE_OPENAI_REQUEST_ERROR_HPP
#define LOVAGEGATE_OPENAI_REQUEST_ERROR_HPP

#include "lovagegate/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagegate::openai {

/// What is wrong with the body of a request.
enum class request_problem : std::uint8_t
{
    not_json,      ///< not well-formed JSON in UTF-8
    too_deep,      ///< nested deeper than max_nesting_depth
    not_an_object, ///< JSON, but not an object
    missing,       ///< a required field is absent
    wrong_type,    ///< a field has the wrong type or is empty
};

/// Thrown when a body is not a valid request of the API.
class request_error : public error
{
public:
    /// @param problem what is wrong with the body
    /// @param field the invalid field, empty for the whole body
    request_error(request_problem problem, std::string_view field);

    [[nodiscard]] request_problem problem() const noexcept { return problem_; }
    [[nodiscard]] const std::string& field() const noexcept { return field_; }

private:
    request_problem problem_;
    std::string field_;
};

} // namespace lovagegate::openai

#endif
