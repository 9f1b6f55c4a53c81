#include "lovagegate/settings/internal/nearest_name.hpp"

#include <algorithm>
#include <numeric>

namespace lovagegate::settings::internal {

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, replaced});
        }
    }
    return row.back();
}

std::string_view nearest_name(std::string_view name,
                              const std::vector<std::string_view>& known)
{
    const auto nearest = std::min_element(
        known.begin(), known.end(),
        [name](std::string_view a, std::string_view b) {
            return edit_distance(name, a) < edit_distance(name, b);
        });
    return nearest == known.end() ? std::string_view{} : *nearest;
}

} // namespace lovagegate::settings::internal
