#ifndef LOVAGEGATE_MEASURE_OVERRIDES_HPP
#define LOVAGEGATE_MEASURE_OVERRIDES_HPP

#include "measure/scenario.hpp"

#include <string>

namespace lovagegate::measure {

/// Changes one setting of the policy.
/// @param d deployment whose settings change
/// @param assignment NAME=VALUE
/// @throw usage_error for an unknown name or a malformed value
void override_setting(deployment& d, const std::string& assignment);

} // namespace lovagegate::measure

#endif
