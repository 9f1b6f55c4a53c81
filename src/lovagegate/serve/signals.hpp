#ifndef LOVAGEGATE_SERVE_SIGNALS_HPP
#define LOVAGEGATE_SERVE_SIGNALS_HPP

#include <functional>

namespace lovagegate::serve {

/// While it lives, SIGTERM and SIGINT begin a shutdown and SIGHUP a reload.
class signals
{
public:
    /// Both functions run in the signal handler. There is one such object at
    /// a time.
    /// @param stop begins the shutdown
    /// @param reload reads the settings again; empty: SIGHUP is ignored
    explicit signals(std::function<void()> stop,
                     std::function<void()> reload = {});
    ~signals();
    signals(const signals&) = delete;
    signals& operator=(const signals&) = delete;
};

} // namespace lovagegate::serve

#endif
