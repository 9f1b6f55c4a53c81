#include "lovagegate/logging/log.hpp"

#include "lovagegate/logging/line_budget.hpp"

#include <algorithm>
#include <array>
#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

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

/// Lines of one process: several for each of 60 requests a second, the most
/// that an instance of a quarter of a core serves.
constexpr double lines_per_second = 400;
constexpr double lines_at_once = 1200;
/// A pipe that is ready takes this much without blocking.
constexpr std::size_t longest_line = 4096;

line_budget& budget()
{
    static line_budget lines(lines_per_second, lines_at_once);
    return lines;
}

time_point steady_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

/// Writes to standard output, unless that would block.
bool write_line(std::string line)
{
    if (line.size() > longest_line) {
        line.resize(longest_line - 1);
        line += '\n';
    }
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
        return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
}

/// Gets each line from the library.
class output : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const auto* message = data->logMessage();
        if (!write_line(message->logger()->logBuilder()->build(message, true)))
            budget().on_dropped();
    }
};

} // namespace

std::uint64_t lines_dropped() noexcept
{
    return budget().dropped();
}

void configure(level least)
{
    constexpr std::array<el::Level, 4> levels = {
        el::Level::Debug, el::Level::Info, el::Level::Warning,
        el::Level::Error};
    el::Configurations c;
    c.setToDefault();
    c.setGlobally(el::ConfigurationType::ToFile, "false");
    // The library's own output would block on a full pipe.
    c.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Helpers::installLogDispatchCallback<output>("output");
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
    const time_point now = steady_now();
    if (!budget().take(now))
        return;
    if (const auto left_out = budget().report(now))
        LOG(WARNING) << format("log_lines_left_out", {{"count", *left_out}});
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
