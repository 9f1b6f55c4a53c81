#include "lovagegate/logging/log.hpp"

#include <algorithm>
#include <array>
#include <easylogging++.h>

namespace lovagegate::logging {

namespace {

bool is_plain(char c)
{
    return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

void append_escaped(std::string& line, char c)
{
    constexpr std::string_view hex = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        line += '\\';
        line += c;
    } else if (byte < ' ' || byte == 0x7f) {
        line += "\\x";
        line += hex[byte >> 4U];
        line += hex[byte & 0xfU];
    } else {
        line += c;
    }
}

void append_value(std::string& line, std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        append_escaped(line, c);
    }
    line += '"';
}

} // namespace

void configure(level least)
{
    constexpr std::array<el::Level, 4> levels = {
        el::Level::Debug, el::Level::Info, el::Level::Warning,
        el::Level::Error};
    el::Configurations c;
    c.setToDefault();
    c.setGlobally(el::ConfigurationType::ToFile, "false");
    c.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    c.setGlobally(el::ConfigurationType::Format,
                  "%level %datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    for (std::size_t i = 0; i < levels.size(); ++i) {
        const bool on = i >= static_cast<std::size_t>(least);
        c.set(levels.at(i), el::ConfigurationType::Enabled,
              on ? "true" : "false");
    }
    el::Loggers::reconfigureAllLoggers(c);
}

void write(level l, std::string_view event, std::initializer_list<field> fields)
{
    const std::string line = format(event, fields);
    switch (l) {
    case level::debug:
        LOG(DEBUG) << line;
        return;
    case level::info:
        LOG(INFO) << line;
        return;
    case level::warning:
        LOG(WARNING) << line;
        return;
    case level::error:
        LOG(ERROR) << line;
        return;
    }
}

std::string format(std::string_view event, std::initializer_list<field> fields)
{
    std::string line(event);
    for (const field& f : fields) {
        line += ' ';
        line += f.key;
        line += '=';
        append_value(line, f.value);
    }
    return line;
}

} // namespace lovagegate::logging
