#ifndef LOVAGEGATE_ENGINE_ERROR_HPP
#define LOVAGEGATE_ENGINE_ERROR_HPP

#include "lovagegate/core/error.hpp"

namespace lovagegate::engine {

/// An engine's answer that is not of its published form.
class report_error : public error
{
public:
    using error::error;
};

} // namespace lovagegate::engine

#endif
