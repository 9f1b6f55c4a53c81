#ifndef LOVAGEGATE_SETTINGS_INTERNAL_INI_DOCUMENT_HPP
#define LOVAGEGATE_SETTINGS_INTERNAL_INI_DOCUMENT_HPP

#include "lovagegate/settings/problem.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::settings::internal {

/// One KEY = VALUE of an INI file.
struct ini_entry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// One [SECTION] of an INI file.
struct ini_section
{
    std::string name;
    int line = 0;
};

/// What an INI file says, before any key is understood.
struct ini_document
{
    std::vector<ini_section> sections;
    std::vector<ini_entry> entries;
    std::vector<problem> problems;
};

/// @param text contents of the file
/// @param file name of the file for the problems
[[nodiscard]] ini_document read_ini(std::string_view text,
                                    const std::string& file);

} // namespace lovagegate::settings::internal

#endif
