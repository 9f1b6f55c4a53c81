#ifndef LOVAGEGATE_OPENAI_PAGES_HPP
#define LOVAGEGATE_OPENAI_PAGES_HPP

#include <span>
#include <string>
#include <string_view>

namespace lovagegate::openai {

/// An error in the shape of the API.
struct error_object
{
    std::string message; ///< for people
    std::string type;    ///< kind of failure
    std::string param;   ///< field at fault, empty for none
    std::string code;    ///< name of the refusal
};

/// @return the JSON body {"error": ...}
[[nodiscard]] std::string error_body(const error_object& e);

/// @param models names that callers may put into the model field
/// @return the JSON body of GET /v1/models
[[nodiscard]] std::string model_list(std::span<const std::string> models);

} // namespace lovagegate::openai

#endif
