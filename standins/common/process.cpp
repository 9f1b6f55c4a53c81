#include "standins/common/process.hpp"

#include <atomic>
#include <csignal>
#include <iostream>

namespace lovagegate::standins {

namespace {

/// The loop that signals stop; signal handlers take no argument of ours.
std::atomic<net::event_loop*> signalled_loop{nullptr};

void on_signal(int /*signal*/)
{
    if (auto* loop = signalled_loop.load()) {
        loop->stop();
    }
}

} // namespace

net::http_server_settings server_settings(const process_options& options)
{
    net::http_server_settings s;
    s.port = options.port;
    s.max_body_bytes = max_body_bytes;
    return s;
}

void serve(std::string_view name, net::event_loop& loop,
           const net::http_server& server, const process_options& options)
{
    signalled_loop = &loop;
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    if (options.run_for) {
        loop.call_later(*options.run_for, [&loop] { loop.stop(); });
    }
    std::cout << name << " listens on 127.0.0.1:" << server.port() << std::endl;
    loop.run();
    signalled_loop = nullptr;
}

} // namespace lovagegate::standins
