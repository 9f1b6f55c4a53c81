#ifndef LOVAGEGATE_HISTORY_JSON_LINES_HPP
#define LOVAGEGATE_HISTORY_JSON_LINES_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/history/event.hpp"

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::history {

/// Thrown for a line that is not a valid event.
class bad_line : public error
{
public:
    bad_line(std::size_t line, const std::string& reason)
        : error("line " + std::to_string(line) + ": " + reason), line_(line)
    {
    }

    /// @return line number, starting at 1
    [[nodiscard]] std::size_t line() const noexcept { return line_; }

private:
    std::size_t line_;
};

/// @return the event as one JSON object, without a line break
[[nodiscard]] std::string to_line(const event& e);

/// Parses an event.
/// @param line one JSON object; absent fields keep their defaults
/// @param number line number for the error message
/// @throws bad_line if the line is not an event of a known type
[[nodiscard]] event from_line(std::string_view line, std::size_t number = 1);

/// Appends the events of one recorder. Empty lines are skipped.
/// @throws bad_line if a line is not a valid event
void read_lines(std::istream& in, std::vector<event>& events);

/// Merges the events of several recorders: sorts them by time, stably.
void sort_by_time(std::vector<event>& events);

} // namespace lovagegate::history

#endif
