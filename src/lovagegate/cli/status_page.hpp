#ifndef LOVAGEGATE_CLI_STATUS_PAGE_HPP
#define LOVAGEGATE_CLI_STATUS_PAGE_HPP

#include "lovagegate/core/error.hpp"

#include <string>
#include <string_view>

namespace lovagegate::cli {

/// Thrown when an instance's answer is not a status page.
class status_error : public error
{
public:
    using error::error;
};

/// @param json answer of an instance to GET /admin/status
/// @return the status as text tables
/// @throws status_error when the text is not a JSON object
[[nodiscard]] std::string status_page(std::string_view json);

} // namespace lovagegate::cli

#endif
