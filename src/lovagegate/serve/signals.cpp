#include "lovagegate/serve/signals.hpp"

#include <array>

namespace lovagegate::serve {

namespace {

constexpr std::array handled_signals{SIGTERM, SIGINT, SIGHUP};

std::function<void()> stop_handler;
std::function<void()> reload_handler;

void on_signal(int number)
{
    const auto& handler = number == SIGHUP ? reload_handler : stop_handler;
    if (handler)
        handler();
}

void set_handler(int number, void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    ::sigaction(number, &action, nullptr);
}

} // namespace

blocked_signals::blocked_signals()
{
    sigset_t blocked{};
    ::sigemptyset(&blocked);
    for (const int number : handled_signals)
        ::sigaddset(&blocked, number);
    ::pthread_sigmask(SIG_BLOCK, &blocked, &previous_mask_);
}

blocked_signals::~blocked_signals()
{
    ::pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr);
}

signal_handlers::signal_handlers(std::function<void()> stop,
                                 std::function<void()> reload)
{
    stop_handler = std::move(stop);
    reload_handler = std::move(reload);
    for (const int number : handled_signals)
        set_handler(number, on_signal);
}

signal_handlers::~signal_handlers()
{
    for (const int number : handled_signals)
        set_handler(number, SIG_DFL);
    stop_handler = nullptr;
    reload_handler = nullptr;
}

} // namespace lovagegate::serve
