#ifndef LOVAGEGATE_SERVE_SIGNALS_HPP
#define LOVAGEGATE_SERVE_SIGNALS_HPP

#include "lovagegate/serve/daemon.hpp"

namespace lovagegate::serve {

/// While it lives, SIGTERM and SIGINT begin the shutdown of a daemon.
class signals
{
public:
    /// @param target outlives this object; there is one such object at a time
    explicit signals(daemon& target);
    ~signals();
    signals(const signals&) = delete;
    signals& operator=(const signals&) = delete;
};

} // namespace lovagegate::serve

#endif
