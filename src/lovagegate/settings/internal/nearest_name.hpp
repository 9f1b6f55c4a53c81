#ifndef LOVAGEGATE_SETTINGS_INTERNAL_NEAREST_NAME_HPP
#define LOVAGEGATE_SETTINGS_INTERNAL_NEAREST_NAME_HPP

#include <cstddef>
#include <string_view>
#include <vector>

namespace lovagegate::settings::internal {

/// @return Levenshtein distance: insertions, deletions and replacements
[[nodiscard]] std::size_t edit_distance(std::string_view a, std::string_view b);

/// @param name the unknown name
/// @param known names to choose from
/// @return the known name with the smallest edit distance; empty if there are
///         no known names
[[nodiscard]] std::string_view
nearest_name(std::string_view name, const std::vector<std::string_view>& known);

} // namespace lovagegate::settings::internal

#endif
