#include "lovagegate/serve/signals.hpp"

#include <atomic>
#include <csignal>

namespace lovagegate::serve {

namespace {

std::atomic<daemon*> stopped_by_signal{nullptr};

void on_signal(int)
{
    if (daemon* const d = stopped_by_signal)
        d->stop();
}

} // namespace

signals::signals(daemon& target)
{
    stopped_by_signal = &target;
    struct sigaction action = {};
    action.sa_handler = on_signal;
    ::sigaction(SIGTERM, &action, nullptr);
    ::sigaction(SIGINT, &action, nullptr);
}

signals::~signals()
{
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    stopped_by_signal = nullptr;
}

} // namespace lovagegate::serve
