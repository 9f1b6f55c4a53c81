#ifndef LOVAGEGATE_ENGINE_ERROR_HPP
#define LOVAGEGATE_ENGINE_ERROR_HPP

#include "lovagegate/core/error.hpp"

namespace lovagegate::engine {

/// Thrown when a response of an engine does not have the documented format.
class report_error : public error
{
public:
    using error::error;
};

} // namespace lovagegate::engine

#endif
