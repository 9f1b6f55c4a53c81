#ifndef LOVAGEGATE_SETTINGS_LOAD_HPP
#define LOVAGEGATE_SETTINGS_LOAD_HPP

#include "lovagegate/settings/settings.hpp"

#include <string>
#include <string_view>

namespace lovagegate::settings {

/// @param text contents of a settings file
/// @param file name of the file for error messages
/// @throws settings_error with every problem of the text
[[nodiscard]] settings parse(std::string_view text, const std::string& file);

/// @param file path of a settings file
/// @throws settings_error with every problem of the file
[[nodiscard]] settings load(const std::string& file);

/// Shortest key that instances may share, in bytes.
inline constexpr std::size_t min_key_bytes = 16;

/// Reads the shared key; white space at the end does not belong to it.
/// @param file path of the key file
/// @throws settings_error when it cannot be read or is too short
[[nodiscard]] std::string load_key(const std::string& file);

} // namespace lovagegate::settings

#endif
