#ifndef LOVAGEGATE_NODE_FROM_SETTINGS_HPP
#define LOVAGEGATE_NODE_FROM_SETTINGS_HPP

#include "lovagegate/node/node_settings.hpp"
#include "lovagegate/settings/settings.hpp"

namespace lovagegate::node {

/// Converts the settings of an instance to those of its decision code.
/// @param checked settings that have been validated
/// @return the converted settings; values that depend on each other, such as
///         the lease ttl and the renewal interval, are derived from one key
[[nodiscard]] node_settings from_settings(const settings::settings& checked);

} // namespace lovagegate::node

#endif
