#ifndef LOVAGEGATE_SERVE_DRAIN_HPP
#define LOVAGEGATE_SERVE_DRAIN_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/serve/caller_frontend.hpp"
#include "lovagegate/serve/core_runner.hpp"

#include <atomic>

namespace lovagegate::serve {

/// Performs a graceful shutdown: waits for the requests in flight, then stops
/// the loop. A second shutdown request or the deadline stops it at once.
class drain
{
public:
    /// The referenced objects outlive this one.
    /// @param deadline longest time from the first request to the end
    drain(net::event_loop& loop, core_runner& core,
          const caller_frontend& frontend, duration deadline);
    ~drain();
    drain(const drain&) = delete;
    drain& operator=(const drain&) = delete;

    /// Requests the shutdown. May be called from a signal handler.
    void request() noexcept;

    /// Called when the decision core has no open request left.
    void on_drained();

    /// @return the number of requests that were cut off
    [[nodiscard]] std::size_t requests_cut_off() const noexcept
    {
        return requests_cut_off_;
    }

private:
    void check();
    void stop_early(const char* reason);

    net::event_loop& loop_;
    core_runner& core_;
    const caller_frontend& frontend_;
    duration deadline_;
    std::atomic<int> requests_{0};
    bool started_ = false;
    bool drained_ = false;
    time_point started_at_{};
    std::size_t requests_cut_off_ = 0;
    net::timer_id timer_ = 0;
};

} // namespace lovagegate::serve

#endif
