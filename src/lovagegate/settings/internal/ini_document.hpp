#ifndef LOVAGEGATE_SETTINGS_INTERNAL_INI_DOCUMENT_HPP
#define LOVAGEGATE_SETTINGS_INTERNAL_INI_DOCUMENT_HPP

#include "lovagegate/settings/problem.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::settings::internal {

/// One KEY = VALUE line of an INI file.
struct ini_entry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// One [SECTION] line of an INI file.
struct ini_section
{
    std::string name;
    int line = 0;
};

/// Contents of an INI file, before keys and values are interpreted.
struct ini_document
{
    std::vector<ini_section> sections;
    std::vector<ini_entry> entries;
    std::vector<problem> problems;
};

/// Splits an INI file into sections and entries.
/// @param text contents of the file
/// @param file name of the file for error messages
[[nodiscard]] ini_document read_ini(std::string_view text,
                                    const std::string& file);

} // namespace lovagegate::settings::internal

#endif
