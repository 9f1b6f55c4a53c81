#include "lovagegate/settings/load.hpp"

#include "lovagegate/settings/internal/ini_document.hpp"
#include "lovagegate/settings/internal/nearest_name.hpp"
#include "lovagegate/settings/internal/schema.hpp"
#include "lovagegate/settings/problem.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

namespace lovagegate::settings {

namespace {

using internal::field;
using internal::ini_document;
using internal::ini_entry;

std::string full_key(std::string_view section, std::string_view key)
{
    return std::string(section) + '.' + std::string(key);
}

std::vector<std::string_view> section_names()
{
    std::vector<std::string_view> names;
    for (const field& f : internal::schema()) {
        if (names.empty() || names.back() != f.section) {
            names.push_back(f.section);
        }
    }
    return names;
}

std::vector<std::string_view> key_names(std::string_view section)
{
    std::vector<std::string_view> names;
    for (const field& f : internal::schema()) {
        if (f.section == section) {
            names.push_back(f.key);
        }
    }
    return names;
}

/// Converts the entries of one file to settings and collects all problems.
class reader
{
public:
    reader(ini_document document, const std::string& file)
        : document_(std::move(document)), problems_(document_.problems),
          file_(file)
    {
    }

    settings read()
    {
        check_sections();
        for (const ini_entry& entry : document_.entries) {
            read_entry(entry);
        }
        check_missing();
        if (problems_.empty()) {
            check_constraints();
        }
        if (!problems_.empty()) {
            std::stable_sort(problems_.begin(), problems_.end(),
                             [](const problem& a, const problem& b) {
                                 return a.line < b.line;
                             });
            throw settings_error(std::move(problems_));
        }
        return result_;
    }

private:
    void check_sections()
    {
        const auto known = section_names();
        for (const auto& section : document_.sections) {
            if (std::find(known.begin(), known.end(), section.name) !=
                known.end()) {
                continue;
            }
            add_problem(
                problem_kind::unknown_section, section.line, "",
                "a known section, nearest is [" +
                    std::string(internal::nearest_name(section.name, known)) +
                    ']',
                '[' + section.name + ']');
        }
    }

    void read_entry(const ini_entry& entry)
    {
        const auto known = key_names(entry.section);
        const std::string key = full_key(entry.section, entry.key);
        if (known.empty()) {
            check_outside_sections(entry);
            return;
        }
        const field* f = find(entry);
        if (f == nullptr) {
            add_problem(
                problem_kind::unknown_key, entry.line, key,
                "a known key, nearest is " +
                    std::string(internal::nearest_name(entry.key, known)),
                entry.key);
        } else if (!key_lines_.emplace(key, entry.line).second) {
            add_problem(problem_kind::duplicate_key, entry.line, key,
                        "each key once, first set in line " +
                            std::to_string(key_lines_[key]),
                        entry.value);
        } else if (!f->assign(result_, entry.value)) {
            add_problem(problem_kind::bad_value, entry.line, key, f->expected,
                        entry.value);
        }
    }

    /// Reports a key above the first section. Keys of an unknown section are
    /// not reported: check_sections() reports that section once.
    void check_outside_sections(const ini_entry& entry)
    {
        if (entry.section.empty()) {
            add_problem(problem_kind::unknown_section, entry.line, entry.key,
                        "a [SECTION] above the first key", entry.value);
        }
    }

    static const field* find(const ini_entry& entry)
    {
        const auto& all = internal::schema();
        const auto found =
            std::find_if(all.begin(), all.end(), [&entry](const field& f) {
                return f.section == entry.section && f.key == entry.key;
            });
        return found == all.end() ? nullptr : &*found;
    }

    void check_missing()
    {
        for (const field& f : internal::schema()) {
            const std::string key = full_key(f.section, f.key);
            if (f.required && key_lines_.count(key) == 0) {
                add_problem(problem_kind::missing_key, 0, key, f.expected, "");
            }
        }
    }

    void check_constraints()
    {
        for (const auto& c : internal::constraints()) {
            if (!c.holds(result_)) {
                const std::string key = full_key(c.section, c.key);
                const auto line = key_lines_.find(key);
                add_problem(problem_kind::inconsistent,
                            line == key_lines_.end() ? 0 : line->second, key,
                            std::string(c.expected), "");
            }
        }
    }

    void add_problem(problem_kind kind, int line, std::string key,
                     std::string expected, std::string found)
    {
        problems_.push_back({kind, file_, line, std::move(key),
                             std::move(expected), std::move(found)});
    }

    ini_document document_;
    std::vector<problem> problems_;
    const std::string& file_;
    settings result_;
    std::map<std::string, int> key_lines_;
};

std::string read_file(const std::string& file)
{
    const std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (!in || std::filesystem::is_directory(file)) {
        throw settings_error({{problem_kind::unreadable_file, file, 0, "",
                               "a readable file", ""}});
    }
    text << in.rdbuf();
    return std::move(text).str();
}

} // namespace

settings parse(std::string_view text, const std::string& file)
{
    return reader(internal::read_ini(text, file), file).read();
}

settings load(const std::string& file)
{
    return parse(read_file(file), file);
}

std::string load_key(const std::string& file)
{
    std::string key = read_file(file);
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
    if (key.size() < min_key_bytes) {
        throw settings_error({{problem_kind::bad_value, file, 0, "",
                               "a key of at least 16 bytes", ""}});
    }
    return key;
}

} // namespace lovagegate::settings
