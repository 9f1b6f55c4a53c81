#ifndef LOVAGEGATE_SERVE_SIGNALS_HPP
#define LOVAGEGATE_SERVE_SIGNALS_HPP

#include <csignal>
#include <functional>

namespace lovagegate::serve {

/// Blocks SIGTERM, SIGINT and SIGHUP during its lifetime: they would end a
/// process that has no handlers yet.
class blocked_signals
{
public:
    blocked_signals();
    ~blocked_signals();
    blocked_signals(const blocked_signals&) = delete;
    blocked_signals& operator=(const blocked_signals&) = delete;

private:
    sigset_t previous_mask_{};
};

/// Handles SIGTERM and SIGINT by a shutdown and SIGHUP by a reload during its
/// lifetime.
class signal_handlers
{
public:
    /// Both functions run in the signal handler. Only one such object may
    /// exist at a time.
    /// @param stop begins the shutdown
    /// @param reload reads the settings again; empty: SIGHUP is ignored
    explicit signal_handlers(std::function<void()> stop,
                             std::function<void()> reload = {});
    ~signal_handlers();
    signal_handlers(const signal_handlers&) = delete;
    signal_handlers& operator=(const signal_handlers&) = delete;
};

} // namespace lovagegate::serve

#endif
