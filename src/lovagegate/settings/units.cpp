#include "lovagegate/settings/units.hpp"

#include <array>
#include <charconv>
#include <cmath>

namespace lovagegate::settings {

namespace {

struct unit
{
    std::string_view symbol;
    std::size_t factor;
};

// Largest unit first: formatting uses the first unit that divides the value.
constexpr std::array<unit, 5> duration_units = {{
    {"h", 3'600'000'000},
    {"min", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};
constexpr std::array<unit, 3> byte_units = {{
    {"MiB", std::size_t{1024} * 1024},
    {"KiB", 1024},
    {"B", 1},
}};

/// Largest duration that a settings file may contain, in microseconds.
constexpr double max_duration_us = 1e15;

constexpr std::string_view number_characters = "0123456789.";

struct quantity
{
    std::string_view number;
    std::string_view symbol;
};

quantity split(std::string_view text)
{
    const auto end = text.find_first_not_of(number_characters);
    if (end == std::string_view::npos) {
        return {text, {}};
    }
    std::string_view symbol = text.substr(end);
    symbol.remove_prefix(
        std::min(symbol.find_first_not_of(' '), symbol.size()));
    return {text.substr(0, end), symbol};
}

template <typename Units>
std::optional<std::size_t> find_factor(const Units& units,
                                       std::string_view symbol)
{
    for (const unit& u : units) {
        if (u.symbol == symbol) {
            return u.factor;
        }
    }
    return std::nullopt;
}

template <typename Units>
std::string format_quantity(const Units& units, std::size_t value)
{
    for (const unit& u : units) {
        if (value >= u.factor && value % u.factor == 0) {
            return std::to_string(value / u.factor) + std::string(u.symbol);
        }
    }
    return '0' + std::string(units.back().symbol);
}

} // namespace

std::optional<std::size_t> parse_count(std::string_view text)
{
    std::size_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_number(std::string_view text)
{
    if (text.empty() ||
        text.find_first_not_of(number_characters) != std::string_view::npos) {
        return std::nullopt;
    }
    double value = 0;
    const char* end = text.data() + text.size();
    const auto result =
        std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<duration> parse_duration(std::string_view text)
{
    const quantity q = split(text);
    const auto number = parse_number(q.number);
    const auto factor = find_factor(duration_units, q.symbol);
    if (!number || !factor) {
        return std::nullopt;
    }
    const double us = *number * static_cast<double>(*factor);
    if (us > max_duration_us) {
        return std::nullopt;
    }
    return duration(std::llround(us));
}

std::optional<std::size_t> parse_bytes(std::string_view text)
{
    const quantity q = split(text);
    const auto number = parse_count(q.number);
    const auto factor = find_factor(byte_units, q.symbol);
    std::size_t bytes = 0;
    if (!number || !factor ||
        __builtin_mul_overflow(*number, *factor, &bytes)) {
        return std::nullopt;
    }
    return bytes;
}

std::string format_duration(duration d)
{
    return format_quantity(duration_units, static_cast<std::size_t>(d.count()));
}

std::string format_bytes(std::size_t bytes)
{
    return format_quantity(byte_units, bytes);
}

} // namespace lovagegate::settings
