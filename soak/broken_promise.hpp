#ifndef LOVAGEGATE_SOAK_BROKEN_PROMISE_HPP
#define LOVAGEGATE_SOAK_BROKEN_PROMISE_HPP

#include "lovagegate/core/time.hpp"

#include <functional>
#include <string>

namespace lovagegate::soak {

/// One broken promise.
struct broken_promise
{
    time_point at;
    std::string instance;
    std::string request;
    std::string seen;
    std::string expected;
};

using report_handler = std::function<void(const broken_promise&)>;

} // namespace lovagegate::soak

#endif
