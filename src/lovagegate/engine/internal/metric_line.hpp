#ifndef LOVAGEGATE_ENGINE_INTERNAL_METRIC_LINE_HPP
#define LOVAGEGATE_ENGINE_INTERNAL_METRIC_LINE_HPP

#include <optional>
#include <string_view>

namespace lovagegate::engine::internal {

/// One sample of the Prometheus text format, as views into its line.
struct metric_line
{
    std::string_view name;
    std::string_view labels; ///< between the braces
    double value = 0.0;

    /// @return the label's value, without its quotes; empty if there is none
    [[nodiscard]] std::string_view label(std::string_view key) const noexcept;
};

/// @return nothing for a comment, an empty line or a malformed sample
[[nodiscard]] std::optional<metric_line>
parse_metric_line(std::string_view line);

} // namespace lovagegate::engine::internal

#endif
