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

/// Hands inih one line after the other and counts them: the library's own
/// handler is not told the line number as Debian builds it.
class line_source
{
public:
    line_source(std::string_view text, const std::string& file,
                ini_document& document)
        : rest_(text), file_(file), document_(document)
    {
    }

    /// Signature of fgets, as inih wants it.
    static char* next_line(char* buffer, int size, void* self)
    {
        return static_cast<line_source*>(self)->next(
            buffer, static_cast<std::size_t>(size));
    }

    static int take_entry(void* self, const char* section, const char* key,
                          const char* value)
    {
        auto& source = *static_cast<line_source*>(self);
        source.entry_taken_ = true;
        source.document_.entries.push_back({section, key, value, source.line_});
        return 1;
    }

    /// Checks that the library understood the last line.
    void finish_line()
    {
        const bool silent = current_.empty() || current_.front() == ';' ||
                            current_.front() == '#';
        const bool header = !silent && current_.front() == '[' &&
                            current_.find(']') != std::string_view::npos;
        if (header) {
            const auto name = current_.substr(1, current_.find(']') - 1);
            document_.sections.push_back({std::string(name), line_});
        } else if (!silent && !entry_taken_) {
            refuse(problem_kind::malformed_line, "[SECTION] or KEY = VALUE");
        }
    }

private:
    char* next(char* buffer, std::size_t size)
    {
        finish_line();
        current_ = {};
        entry_taken_ = false;
        if (rest_.empty()) {
            return nullptr;
        }
        ++line_;
        std::string_view line = rest_.substr(0, rest_.find('\n'));
        rest_.remove_prefix(std::min(line.size() + 1, rest_.size()));
        line = checked(line, size);
        current_ = trim(line);
        line.copy(buffer, line.size());
        buffer[line.size()] = '\0';
        return buffer;
    }

    /// @return the line, or nothing when inih cannot take it
    std::string_view checked(std::string_view line, std::size_t size)
    {
        if (line.size() + 2 > size) {
            current_ = line;
            refuse(problem_kind::line_too_long,
                   "at most " + std::to_string(size - 2) + " characters");
            return {};
        }
        if (line.find('\0') != std::string_view::npos) {
            refuse(problem_kind::malformed_line, "text without NUL bytes");
            return {};
        }
        return line;
    }

    void refuse(problem_kind kind, std::string expected)
    {
        constexpr std::size_t shown = 40;
        document_.problems.push_back({kind, file_, line_, "",
                                      std::move(expected),
                                      std::string(current_.substr(0, shown))});
    }

    std::string_view rest_;
    const std::string& file_;
    ini_document& document_;
    std::string_view current_;
    bool entry_taken_ = false;
    int line_ = 0;
};

} // namespace

ini_document read_ini(std::string_view text, const std::string& file)
{
    // A key that is indented is a key, not more of the value above it.
    ini_allow_multiline = false;
    ini_document document;
    line_source source(text, file, document);
    ini_parse_stream(&line_source::next_line, &source, &line_source::take_entry,
                     &source);
    return document;
}

} // namespace lovagegate::settings::internal
