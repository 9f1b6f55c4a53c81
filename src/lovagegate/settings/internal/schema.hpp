#ifndef LOVAGEGATE_SETTINGS_INTERNAL_SCHEMA_HPP
#define LOVAGEGATE_SETTINGS_INTERNAL_SCHEMA_HPP

#include "lovagegate/settings/settings.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::settings::internal {

/// One key that a settings file may hold.
struct field
{
    std::string_view section;
    std::string_view key;
    bool required = false;
    /// Type, range and unit, for error messages.
    std::string expected;
    /// Stores a value; false when it is not as expected.
    std::function<bool(settings&, const std::string&)> assign;
};

/// @return every key of a settings file
[[nodiscard]] const std::vector<field>& schema();

/// Two values that must keep an order.
struct constraint
{
    /// SECTION and KEY that is reported.
    std::string_view section;
    std::string_view key;
    std::string_view expected;
    bool (*holds)(const settings&);
};

/// @return what must hold between the values of a settings file
[[nodiscard]] const std::vector<constraint>& constraints();

} // namespace lovagegate::settings::internal

#endif
