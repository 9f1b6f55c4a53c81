#ifndef LOVAGEGATE_CORE_ERROR_HPP
#define LOVAGEGATE_CORE_ERROR_HPP

#include <stdexcept>
#include <string>

namespace lovagegate {

/// Base class of the project's exceptions. Each component derives its own
/// types, so that callers need not compare message texts.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace lovagegate

#endif
