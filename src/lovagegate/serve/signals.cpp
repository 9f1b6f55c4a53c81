#include "lovagegate/serve/signals.hpp"

#include <csignal>

namespace lovagegate::serve {

namespace {

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

signals::signals(std::function<void()> stop, std::function<void()> reload)
{
    stop_handler = std::move(stop);
    reload_handler = std::move(reload);
    handle(SIGTERM, on_signal);
    handle(SIGINT, on_signal);
    handle(SIGHUP, on_signal);
}

signals::~signals()
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        handle(number, SIG_DFL);
    stop_handler = nullptr;
    reload_handler = nullptr;
}

} // namespace lovagegate::serve
