#ifndef LOVAGEGATE_OPENAI_ANSWER_CHECK_HPP
#define LOVAGEGATE_OPENAI_ANSWER_CHECK_HPP

#include <cstdint>
#include <string_view>

namespace lovagegate::openai {

/// What an answer, or one event of a streamed answer, says about itself.
enum class answer_verdict : std::uint8_t
{
    matches,      ///< made by the model that was asked for
    other_model,  ///< made by another model
    error_object, ///< an error of the API
    malformed,    ///< not an answer of the API
};

/// @param text JSON of a whole answer or of one event
/// @param model what was asked for: ADAPTER@VERSION
[[nodiscard]] answer_verdict check_answer(std::string_view text,
                                          std::string_view model);

/// @param body of a refusal by an engine
/// @return whether it says that the engine does not hold the adapter
[[nodiscard]] bool is_model_not_found_error(std::string_view body);

} // namespace lovagegate::openai

#endif
