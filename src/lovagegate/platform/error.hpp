#ifndef LOVAGEGATE_PLATFORM_ERROR_HPP
#define LOVAGEGATE_PLATFORM_ERROR_HPP

#include "lovagegate/core/error.hpp"

namespace lovagegate::platform {

/// An answer of the platform that is not of its published form.
class reply_error : public error
{
public:
    using error::error;
};

} // namespace lovagegate::platform

#endif
