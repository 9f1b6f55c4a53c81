#include "lovagegate/settings/internal/ini_document.hpp"

#include <algorithm>
#include <ini.h>

namespace lovagegate::settings::internal {

namespace {

constexpr std::string_view white_space = " \t\r\n\f\v";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// Feeds inih line by line and counts the lines, because inih as Debian builds
/// it does not pass the line number to the handler.
class line_source
{
public:
    line_source(std::string_view text, const std::string& file,
                ini_document& document)
        : rest_(text), file_(file), document_(document)
    {
    }

    /// Reader callback of inih, with the signature of fgets.
    static char* next_line(char* buffer, int size, void* self)
    {
        return static_cast<line_source*>(self)->next(
            buffer, static_cast<std::size_t>(size));
    }

    static int handle_entry(void* self, const char* section, const char* key,
                            const char* value)
    {
        auto& source = *static_cast<line_source*>(self);
        source.entry_parsed_ = true;
        source.document_.entries.push_back(
            {section, key, value, source.line_number_});
        return 1;
    }

    /// Records a section header, or a problem if inih did not parse the line.
    void finish_line()
    {
        const bool blank_or_comment = current_line_.empty() ||
                                      current_line_.front() == ';' ||
                                      current_line_.front() == '#';
        const bool section_header =
            !blank_or_comment && current_line_.front() == '[' &&
            current_line_.find(']') != std::string_view::npos;
        if (section_header) {
            const auto name =
                current_line_.substr(1, current_line_.find(']') - 1);
            document_.sections.push_back({std::string(name), line_number_});
        } else if (!blank_or_comment && !entry_parsed_) {
            add_problem(problem_kind::malformed_line,
                        "[SECTION] or KEY = VALUE");
        }
    }

private:
    char* next(char* buffer, std::size_t size)
    {
        finish_line();
        current_line_ = {};
        entry_parsed_ = false;
        if (rest_.empty()) {
            return nullptr;
        }
        ++line_number_;
        std::string_view line = rest_.substr(0, rest_.find('\n'));
        rest_.remove_prefix(std::min(line.size() + 1, rest_.size()));
        line = check_line(line, size);
        current_line_ = trim(line);
        line.copy(buffer, line.size());
        buffer[line.size()] = '\0';
        return buffer;
    }

    /// Reports a line that is too long for inih's buffer or contains a NUL
    /// byte.
    /// @return the line, or an empty one if it was reported
    std::string_view check_line(std::string_view line, std::size_t size)
    {
        if (line.size() + 2 > size) {
            current_line_ = line;
            add_problem(problem_kind::line_too_long,
                        "at most " + std::to_string(size - 2) + " characters");
            return {};
        }
        if (line.find('\0') != std::string_view::npos) {
            add_problem(problem_kind::malformed_line, "text without NUL bytes");
            return {};
        }
        return line;
    }

    void add_problem(problem_kind kind, std::string expected)
    {
        constexpr std::size_t max_shown_characters = 40;
        document_.problems.push_back(
            {kind, file_, line_number_, "", std::move(expected),
             std::string(current_line_.substr(0, max_shown_characters))});
    }

    std::string_view rest_;
    const std::string& file_;
    ini_document& document_;
    std::string_view current_line_;
    bool entry_parsed_ = false;
    int line_number_ = 0;
};

} // namespace

ini_document read_ini(std::string_view text, const std::string& file)
{
    // Treat an indented key as a key, not as a continuation of the value above.
    ini_allow_multiline = false;
    ini_document document;
    line_source source(text, file, document);
    ini_parse_stream(&line_source::next_line, &source,
                     &line_source::handle_entry, &source);
    return document;
}

} // namespace lovagegate::settings::internal
