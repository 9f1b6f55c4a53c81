#include "lovagegate/logging/log.hpp"

#include "lovagegate/logging/line_rate_limiter.hpp"

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

/// Allows several lines for each of 60 requests a second, the most that an
/// instance on a quarter of a CPU core serves.
constexpr double max_lines_per_second = 400;
constexpr double max_burst_lines = 1200;
/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t max_line_bytes = 4096;

line_rate_limiter& rate_limiter()
{
    static line_rate_limiter lines(max_lines_per_second, max_burst_lines);
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
    if (line.size() > max_line_bytes) {
        line.resize(max_line_bytes - 1);
        line += '\n';
    }
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
        return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
}

/// Receives each log line from easylogging++.
class output : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const auto* message = data->logMessage();
        if (!write_line(message->logger()->logBuilder()->build(message, true)))
            rate_limiter().on_dropped();
    }
};

} // namespace

std::uint64_t lines_dropped() noexcept
{
    return rate_limiter().dropped();
}

void configure(level min_level)
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
        const bool on = i >= static_cast<std::size_t>(min_level);
        c.set(levels.at(i), el::ConfigurationType::Enabled,
              on ? "true" : "false");
    }
    el::Loggers::reconfigureAllLoggers(c);
}

void write(level l, std::string_view event, std::initializer_list<field> fields)
{
    const time_point now = steady_now();
    if (!rate_limiter().try_acquire(now))
        return;
    if (const auto dropped = rate_limiter().take_dropped_count(now))
        LOG(WARNING) << format("log_lines_left_out", {{"count", *dropped}});
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
