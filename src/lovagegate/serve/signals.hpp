#ifndef LOVAGEGATE_SERVE_SIGNALS_HPP
#define LOVAGEGATE_SERVE_SIGNALS_HPP

#include <csignal>
#include <functional>

namespace lovagegate::serve {

/// While it lives, SIGTERM, SIGINT and SIGHUP wait: they would end a process
/// that has no handlers yet.
class held_signals
{
public:
    held_signals();
    ~held_signals();
    held_signals(const held_signals&) = delete;
    held_signals& operator=(const held_signals&) = delete;

private:
    sigset_t before_{};
};

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
