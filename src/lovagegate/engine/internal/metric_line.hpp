#ifndef LOVAGEGATE_ENGINE_INTERNAL_METRIC_LINE_HPP
#define LOVAGEGATE_ENGINE_INTERNAL_METRIC_LINE_HPP

#include <optional>
#include <string_view>

namespace lovagegate::engine::internal {

/// One sample of the Prometheus text format; its views refer to the line.
struct metric_line
{
    std::string_view name;
    std::string_view labels; ///< text between the braces
    double value = 0.0;

    /// @return the label's value without quotes; empty if it is missing
    [[nodiscard]] std::string_view label(std::string_view key) const noexcept;
};

/// Parses one line of the Prometheus text format.
/// @return nothing for a comment, an empty line or a malformed sample
[[nodiscard]] std::optional<metric_line>
parse_metric_line(std::string_view line);

} // namespace lovagegate::engine::internal

#endif
