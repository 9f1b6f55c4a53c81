#ifndef LOVAGEGATE_SETTINGS_UNITS_HPP
#define LOVAGEGATE_SETTINGS_UNITS_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::settings {

/// @param text decimal digits without a sign
/// @return nothing when the text is anything else or too large
[[nodiscard]] std::optional<std::size_t> parse_count(std::string_view text);

/// @param text a decimal number without a sign or exponent, such as 0.25
/// @return nothing when the text is anything else
[[nodiscard]] std::optional<double> parse_number(std::string_view text);

/// @param text a number and one of the units us, ms, s, min, h
/// @return nothing without a unit or when the text is anything else
[[nodiscard]] std::optional<duration> parse_duration(std::string_view text);

/// @param text a whole number and one of the units B, KiB, MiB
/// @return bytes; nothing when the text is anything else
[[nodiscard]] std::optional<std::size_t> parse_bytes(std::string_view text);

/// @return the duration as a settings file states it, in its largest unit
[[nodiscard]] std::string format_duration(duration d);

/// @return the size as a settings file states it, in its largest unit
[[nodiscard]] std::string format_bytes(std::size_t bytes);

} // namespace lovagegate::settings

#endif
