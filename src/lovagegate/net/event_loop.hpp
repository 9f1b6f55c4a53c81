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

/// Bounds of one event loop.
struct loop_settings
{
    /// Largest head of a request or response, in bytes.
    std::uint32_t max_header_bytes = 16 * 1024;
    /// Size of the shared read buffer, in bytes.
    std::uint32_t read_buffer_bytes = 16 * 1024;
};

/// Names a timer; never reused within one loop.
using timer_id = std::uint64_t;

/// One thread's libwebsockets context: sockets, timers and posted functions.
/// Servers, clients and links refer to it and must be destroyed before it.
/// All members but post() and stop() belong to the thread that calls run().
class event_loop
{
public:
    using task = std::function<void()>;

    /// @throws context_error if libwebsockets refuses the settings
    explicit event_loop(const loop_settings& settings = {});
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Serves sockets and timers until stop().
    void run();

    /// Waits for one round of events and serves them.
    void run_once();

    /// Makes run() return. May be called from any thread and from a signal
    /// handler.
    void stop() noexcept;

    /// Wakes the loop up; may be called from a signal handler.
    void wake() noexcept;

    /// Runs a function on the loop's thread. May be called from any thread.
    void post(task fn);

    /// @param delay how long to wait
    /// @param fn runs once, on the loop's thread
    /// @return for cancel()
    timer_id call_later(duration delay, task fn);

    /// Forgets a timer; does nothing if it has run.
    void cancel(timer_id id) noexcept;

    /// @return both clocks
    [[nodiscard]] static instant now() noexcept;

    /// @return the library's context, for the classes of this area
    [[nodiscard]] lws_context* native() noexcept { return context_; }

    /// Keeps a value alive until the context is gone: the library calls back
    /// with it even after its user was destroyed.
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
