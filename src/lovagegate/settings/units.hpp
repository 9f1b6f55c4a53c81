#ifndef LOVAGEGATE_SETTINGS_UNITS_HPP
#define LOVAGEGATE_SETTINGS_UNITS_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::settings {

/// Parses a count.
/// @param text decimal digits without a sign
/// @return nothing if the text has another form or the value is too large
[[nodiscard]] std::optional<std::size_t> parse_count(std::string_view text);

/// Parses a decimal number.
/// @param text a number without a sign or exponent, such as 0.25
/// @return nothing if the text has another form
[[nodiscard]] std::optional<double> parse_number(std::string_view text);

/// Parses a duration.
/// @param text a number and one of the units us, ms, s, min, h
/// @return nothing if the unit is missing or the text has another form
[[nodiscard]] std::optional<duration> parse_duration(std::string_view text);

/// Parses a size.
/// @param text a whole number and one of the units B, KiB, MiB
/// @return bytes; nothing if the text has another form
[[nodiscard]] std::optional<std::size_t> parse_bytes(std::string_view text);

/// @return the duration in the format of settings files, in the largest unit
///         that divides it
[[nodiscard]] std::string format_duration(duration d);

/// @return the size in the format of settings files, in the largest unit that
///         divides it
[[nodiscard]] std::string format_bytes(std::size_t bytes);

} // namespace lovagegate::settings

#endif
