#ifndef LOVAGEGATE_CORE_ERROR_HPP
#define LOVAGEGATE_CORE_ERROR_HPP

#include <stdexcept>
#include <string>

namespace lovagegate {

/// Base of every exception of the project. Areas derive their own types, so
/// that no failure is told apart by its text.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace lovagegate

#endif
