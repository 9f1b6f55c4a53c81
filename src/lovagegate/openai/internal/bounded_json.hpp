#ifndef LOVAGEGATE_OPENAI_INTERNAL_BOUNDED_JSON_HPP
#define LOVAGEGATE_OPENAI_INTERNAL_BOUNDED_JSON_HPP

#include <nlohmann/json.hpp>
#include <string_view>

namespace lovagegate::openai::internal {

/// @param text JSON in UTF-8
/// @return the object
/// @throws request_error if it is not a JSON object, or nested deeper than
///         max_nesting_depth
[[nodiscard]] nlohmann::json parse_object(std::string_view text);

} // namespace lovagegate::openai::internal

#endif
