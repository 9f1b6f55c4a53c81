#include "lovagegate/engine/internal/metric_line.hpp"

#include <charconv>
#include <string>

namespace lovagegate::engine::internal {
namespace {

std::string_view trim(std::string_view s)
{
    const std::size_t first = s.find_first_not_of(" \t\r");
    if (first == std::string_view::npos)
        return {};
    return s.substr(first, s.find_last_not_of(" \t\r") - first + 1);
}

std::optional<double> parse_value(std::string_view text)
{
    // A timestamp may follow the value.
    text = text.substr(0, text.find(' '));
    double value = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

} // namespace

std::string_view metric_line::label(std::string_view key) const noexcept
{
    std::size_t at = 0;
    while (at < labels.size()) {
        const std::size_t equals = labels.find("=\"", at);
        if (equals == std::string_view::npos)
            return {};
        const std::size_t close = labels.find('"', equals + 2);
        if (close == std::string_view::npos)
            return {};
        if (trim(labels.substr(at, equals - at)) == key)
            return labels.substr(equals + 2, close - equals - 2);
        at = labels.find(',', close);
        if (at == std::string_view::npos)
            return {};
        ++at;
    }
    return {};
}

std::optional<metric_line> parse_metric_line(std::string_view line)
{
    line = trim(line);
    if (line.empty() || line.front() == '#')
        return std::nullopt;
    metric_line m;
    std::size_t value_at = 0;
    const std::size_t brace = line.find('{');
    if (brace != std::string_view::npos) {
        const std::size_t close = line.rfind('}');
        if (close == std::string_view::npos || close < brace)
            return std::nullopt;
        m.labels = line.substr(brace + 1, close - brace - 1);
        m.name = trim(line.substr(0, brace));
        value_at = close + 1;
    } else {
        value_at = line.find(' ');
        if (value_at == std::string_view::npos)
            return std::nullopt;
        m.name = line.substr(0, value_at);
    }
    const auto value = parse_value(trim(line.substr(value_at)));
    if (!value)
        return std::nullopt;
    m.value = *value;
    return m;
}

} // namespace lovagegate::engine::internal
