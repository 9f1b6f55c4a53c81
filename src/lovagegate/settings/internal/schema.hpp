#ifndef LOVAGEGATE_SETTINGS_INTERNAL_SCHEMA_HPP
#define LOVAGEGATE_SETTINGS_INTERNAL_SCHEMA_HPP

#include "lovagegate/settings/settings.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::settings::internal {

/// One key that a settings file may contain.
struct field
{
    std::string_view section;
    std::string_view key;
    bool required = false;
    /// Type, range and unit, for error messages.
    std::string expected;
    /// Parses and stores a value; returns false if it is invalid.
    std::function<bool(settings&, const std::string&)> assign;
};

/// @return all keys that a settings file may contain
[[nodiscard]] const std::vector<field>& schema();

/// A condition on two values of a settings file.
struct constraint
{
    /// Section and key of the value that a violation is reported for.
    std::string_view section;
    std::string_view key;
    std::string_view expected;
    bool (*holds)(const settings&);
};

/// @return all conditions on pairs of values
[[nodiscard]] const std::vector<constraint>& constraints();

} // namespace lovagegate::settings::internal

#endif
