#ifndef LOVAGEGATE_NET_EVENT_LOOP_HPP
#define LOVAGEGATE_NET_EVENT_LOOP_HPP

#include "lovagegate/core/time.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

struct lws_context;

namespace lovagegate::net {

namespace internal {
class timer_queue;
}

/// Settings of one event loop.
struct loop_settings
{
    /// Maximum size of a request or response head.
    std::uint32_t max_header_bytes = 16 * 1024;
    /// Size of the read buffer shared by all connections.
    std::uint32_t read_buffer_bytes = 16 * 1024;
};

/// Identifies a timer; never reused within one loop.
using timer_id = std::uint64_t;

/// Event loop of one thread, on a libwebsockets context: serves sockets, timers
/// and posted functions. Servers, clients and links refer to it and must be
/// destroyed before it. Only post(), stop() and wake() may be called from
/// threads other than the one that calls run().
class event_loop
{
public:
    using task = std::function<void()>;

    /// @throws context_error if libwebsockets refuses the settings
    explicit event_loop(const loop_settings& settings = {});
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Processes events until stop() is called.
    void run();

    /// Waits for events, then processes them and the posted functions once.
    void run_once();

    /// Makes run() return. May be called from any thread and from a signal
    /// handler.
    void stop() noexcept;

    /// Makes a waiting run_once() return. May be called from a signal handler.
    void wake() noexcept;

    /// Queues a function to run on the loop's thread. May be called from any
    /// thread.
    void post(task fn);

    /// Runs a function once, after a delay.
    /// @param delay time to wait
    /// @param fn called on the loop's thread
    /// @return id to pass to cancel()
    timer_id call_later(duration delay, task fn);

    /// Cancels a timer; does nothing if it has run.
    void cancel(timer_id id) noexcept;

    /// @return the current time of the monotonic and the wall clock
    [[nodiscard]] static instant now() noexcept;

    /// @return the libwebsockets context, for other classes of net
    [[nodiscard]] lws_context* native() noexcept { return context_; }

    /// Keeps a value alive until the context is destroyed: libwebsockets passes
    /// it to callbacks even after the object that registered it was destroyed.
    void retain(std::shared_ptr<void> value);

private:
    void run_posted();

    lws_context* context_ = nullptr;
    std::atomic<bool> stopped_{false};
    std::mutex posted_mutex_;
    std::vector<task> posted_;
    std::unique_ptr<internal::timer_queue> timers_;
    std::vector<std::shared_ptr<void>> retained_;
};

} // namespace lovagegate::net

#endif
