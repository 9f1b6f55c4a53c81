#ifndef LOVAGEGATE_LOGGING_LOG_HPP
#define LOVAGEGATE_LOGGING_LOG_HPP

#include "lovagegate/settings/settings.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Writes log lines to standard output, one for each decision and change of
/// state. Their rate is limited, and a slow reader never blocks the process.
namespace lovagegate::logging {

using level = settings::log_level;

/// One KEY=VALUE of a log line.
struct field
{
    field(std::string_view k, std::string_view v) : key(k), value(v) {}
    field(std::string_view k, const std::string& v) : key(k), value(v) {}
    field(std::string_view k, const char* v) : key(k), value(v) {}
    field(std::string_view k, std::uint64_t v)
        : key(k), value(std::to_string(v))
    {
    }

    std::string_view key;
    std::string value;
};

/// Sets the format and the minimum level; call it once, before the first line.
/// @param min_level lines below this level are dropped
void configure(level min_level);

/// Writes one line: LEVEL TIME EVENT KEY=VALUE ...
/// @param l level of the line
/// @param event name of the event, one word
/// @param fields further details
void write(level l, std::string_view event,
           std::initializer_list<field> fields = {});

/// @return lines dropped by the rate limit or because of a slow reader
[[nodiscard]] std::uint64_t lines_dropped() noexcept;

/// @return EVENT KEY=VALUE ..., with values quoted and escaped where needed
[[nodiscard]] std::string format(std::string_view event,
                                 std::initializer_list<field> fields);

} // namespace lovagegate::logging

#endif
