#ifndef LOVAGEGATE_SETTINGS_PROBLEM_HPP
#define LOVAGEGATE_SETTINGS_PROBLEM_HPP

#include "lovagegate/core/error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagegate::settings {

enum class problem_kind : std::uint8_t
{
    unreadable_file,
    malformed_line,
    line_too_long,
    unknown_section,
    unknown_key,
    duplicate_key,
    missing_key,
    bad_value,
    inconsistent, ///< each value is valid, but two contradict each other
};

/// One problem of a settings file.
struct problem
{
    problem_kind kind = problem_kind::bad_value;
    std::string file;
    /// Line number from 1; 0 if the problem belongs to no line.
    int line = 0;
    /// SECTION.KEY, or empty.
    std::string key;
    /// Description of a valid value.
    std::string expected;
    /// Text found in the file, or empty.
    std::string found;
};

/// @return the message FILE:LINE: KEY: expected ..., found '...'
[[nodiscard]] std::string to_string(const problem& p);

/// Thrown when a settings file is invalid; lists all of its problems.
class settings_error : public error
{
public:
    explicit settings_error(std::vector<problem> problems);

    [[nodiscard]] const std::vector<problem>& problems() const noexcept
    {
        return problems_;
    }

private:
    std::vector<problem> problems_;
};

} // namespace lovagegate::settings

#endif
