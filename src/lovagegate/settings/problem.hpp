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
    inconsistent, ///< each value is good, both together are not
};

/// One thing that is wrong in a settings file.
struct problem
{
    problem_kind kind = problem_kind::bad_value;
    std::string file;
    /// Counted from 1; 0 when no line is to blame.
    int line = 0;
    /// SECTION.KEY, or empty.
    std::string key;
    /// What would have been right.
    std::string expected;
    /// What stands in the file, or empty.
    std::string found;
};

/// @return one line for people: FILE:LINE: KEY: expected ..., found ...
[[nodiscard]] std::string to_string(const problem& p);

/// A settings file was refused; lists everything that is wrong in it.
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
