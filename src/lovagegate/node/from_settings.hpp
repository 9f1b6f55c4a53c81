#ifndef LOVAGEGATE_NODE_FROM_SETTINGS_HPP
#define LOVAGEGATE_NODE_FROM_SETTINGS_HPP

#include "lovagegate/node/node_settings.hpp"
#include "lovagegate/settings/settings.hpp"

namespace lovagegate::node {

/// @param checked settings of one instance
/// @return the settings of its decision code; bounds that belong together,
///         such as a lease's ttl and its renewal, are derived from one key
[[nodiscard]] node_settings from_settings(const settings::settings& checked);

} // namespace lovagegate::node

#endif
