#include "lovagegate/serve/signals.hpp"

#include <array>

namespace lovagegate::serve {

namespace {

constexpr std::array handled{SIGTERM, SIGINT, SIGHUP};

std::function<void()> stop_handler;
std::function<void()> reload_handler;

void on_signal(int number)
{
    const auto& handler = number == SIGHUP ? reload_handler : stop_handler;
    if (handler)
        handler();
}

void handle(int number, void (*with)(int))
{
    struct sigaction action = {};
    action.sa_handler = with;
    ::sigaction(number, &action, nullptr);
}

} // namespace

held_signals::held_signals()
{
    sigset_t held{};
    ::sigemptyset(&held);
    for (const int number : handled)
        ::sigaddset(&held, number);
    ::pthread_sigmask(SIG_BLOCK, &held, &before_);
}

held_signals::~held_signals()
{
    ::pthread_sigmask(SIG_SETMASK, &before_, nullptr);
}

signals::signals(std::function<void()> stop, std::function<void()> reload)
{
    stop_handler = std::move(stop);
    reload_handler = std::move(reload);
    for (const int number : handled)
        handle(number, on_signal);
}

signals::~signals()
{
    for (const int number : handled)
        handle(number, SIG_DFL);
    stop_handler = nullptr;
    reload_handler = nullptr;
}

} // namespace lovagegate::serve
