#ifndef LOVAGEGATE_OPENAI_ANSWER_CHECK_HPP
#define LOVAGEGATE_OPENAI_ANSWER_CHECK_HPP

#include <cstdint>
#include <string_view>

namespace lovagegate::openai {

/// Result of checking an answer or one event of a streamed answer.
enum class answer_verdict : std::uint8_t
{
    matches,      ///< produced by the requested model
    other_model,  ///< produced by another model
    error_object, ///< error object of the API
    malformed,    ///< not an answer in the API's format
};

/// @param text JSON of a whole answer or of one event
/// @param model requested model: ADAPTER@VERSION
[[nodiscard]] answer_verdict check_answer(std::string_view text,
                                          std::string_view model);

/// @param body of a refusal by an engine
/// @return whether its error code is model_not_found: the engine does not hold
///         the adapter
[[nodiscard]] bool is_model_not_found_error(std::string_view body);

} // namespace lovagegate::openai

#endif
