#ifndef LOVAGEGATE_PLATFORM_ERROR_HPP
#define LOVAGEGATE_PLATFORM_ERROR_HPP

#include "lovagegate/core/error.hpp"

namespace lovagegate::platform {

/// Thrown when a response of the platform does not have the documented format.
class reply_error : public error
{
public:
    using error::error;
};

} // namespace lovagegate::platform

#endif
