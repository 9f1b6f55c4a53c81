#ifndef LOVAGEGATE_OPENAI_PAGES_HPP
#define LOVAGEGATE_OPENAI_PAGES_HPP

#include <span>
#include <string>
#include <string_view>

namespace lovagegate::openai {

/// An error in the format of the OpenAI API.
struct error_object
{
    std::string message; ///< human-readable text
    std::string type;    ///< kind of failure
    std::string param;   ///< invalid field, empty for none
    std::string code;    ///< name of the refusal reason
};

/// @return the JSON body {"error": ...}
[[nodiscard]] std::string error_body(const error_object& e);

/// @param models names that callers may put into the model field
/// @return the JSON body of GET /v1/models
[[nodiscard]] std::string model_list(std::span<const std::string> models);

} // namespace lovagegate::openai

#endif
