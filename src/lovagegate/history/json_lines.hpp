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

/// A line that is no event.
class bad_line : public error
{
public:
    bad_line(std::size_t line, const std::string& reason)
        : error("line " + std::to_string(line) + ": " + reason), line_(line)
    {
    }

    /// @return number of the line, from 1
    [[nodiscard]] std::size_t line() const noexcept { return line_; }

private:
    std::size_t line_;
};

/// @return the event as one JSON object without a line end
[[nodiscard]] std::string to_line(const event& e);

/// @param line one JSON object; absent fields keep their defaults
/// @param number of the line, for the error
/// @throws bad_line if it is not an event of a known kind
[[nodiscard]] event from_line(std::string_view line, std::size_t number = 1);

/// Appends the events of one recorder; empty lines are skipped.
/// @throws bad_line
void read_lines(std::istream& in, std::vector<event>& events);

/// Merges the recorders: orders events by time, keeping the order of equals.
void sort_by_time(std::vector<event>& events);

} // namespace lovagegate::history

#endif
