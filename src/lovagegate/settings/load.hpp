#ifndef LOVAGEGATE_SETTINGS_LOAD_HPP
#define LOVAGEGATE_SETTINGS_LOAD_HPP

#include "lovagegate/settings/settings.hpp"

#include <string>
#include <string_view>

namespace lovagegate::settings {

/// Parses and checks the text of a settings file.
/// @param text contents of a settings file
/// @param file name of the file for error messages
/// @throws settings_error that lists every problem of the text
[[nodiscard]] settings parse(std::string_view text, const std::string& file);

/// Reads, parses and checks a settings file.
/// @param file path of a settings file
/// @throws settings_error that lists every problem of the file
[[nodiscard]] settings load(const std::string& file);

/// Minimum length of the key that all instances share, in bytes.
inline constexpr std::size_t min_key_bytes = 16;

/// Reads the shared key, without trailing white space.
/// @param file path of the key file
/// @throws settings_error if the file cannot be read or the key is too short
[[nodiscard]] std::string load_key(const std::string& file);

} // namespace lovagegate::settings

#endif
