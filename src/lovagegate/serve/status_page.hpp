#ifndef LOVAGEGATE_SERVE_STATUS_PAGE_HPP
#define LOVAGEGATE_SERVE_STATUS_PAGE_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/node/node.hpp"
#include "lovagegate/settings/settings.hpp"

#include <string>

namespace lovagegate::serve {

/// @param checked settings of the instance
/// @param core its decision core
/// @param counts all its counters
/// @return the JSON body of GET /admin/status
[[nodiscard]] std::string status_page(const settings::settings& checked,
                                      const node::node& core,
                                      const counters& counts);

} // namespace lovagegate::serve

#endif
