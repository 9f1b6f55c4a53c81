#ifndef LOVAGEGATE_CORE_CBOR_HPP
#define LOVAGEGATE_CORE_CBOR_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace lovagegate {

/// Decodes CBOR of which the sender is not trusted: the library recurses into
/// nested values, so deeply nested ones would exhaust the stack.
/// @throws nlohmann::json::exception if the bytes are not CBOR or are nested
///         too deeply
[[nodiscard]] nlohmann::json read_cbor(std::string_view bytes);

/// @return the value as CBOR
[[nodiscard]] std::string write_cbor(const nlohmann::json& value);

} // namespace lovagegate

#endif
