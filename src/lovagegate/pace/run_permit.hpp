#ifndef LOVAGEGATE_PACE_RUN_PERMIT_HPP
#define LOVAGEGATE_PACE_RUN_PERMIT_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/peer_messages.hpp"

#include <functional>
#include <utility>

namespace lovagegate::pace {

/// The admission of one request to an engine. Tells the engine's owner when the
/// request has begun and, at the latest when it is destroyed, that it has
/// ended.
class run_permit
{
public:
    /// @param time since the send, for run_event::begun
    using listener = std::function<void(gateway::run_event, duration time)>;

    run_permit() = default;
    explicit run_permit(listener tell) : tell_(std::move(tell)) {}
    run_permit(run_permit&& other) noexcept
        : tell_(std::exchange(other.tell_, nullptr)), begun_(other.begun_),
          outcome_(other.outcome_)
    {
    }
    run_permit& operator=(run_permit&& other) noexcept
    {
        release();
        tell_ = std::exchange(other.tell_, nullptr);
        begun_ = other.begun_;
        outcome_ = other.outcome_;
        return *this;
    }
    run_permit(const run_permit&) = delete;
    run_permit& operator=(const run_permit&) = delete;
    ~run_permit() { release(); }

    /// Called when a request that waited for its adapter has been sent.
    void on_sent()
    {
        if (tell_)
            tell_(gateway::run_event::sent, duration::zero());
    }

    /// Called for each event of the request's answer; the first one is told.
    /// @param time since the request was sent
    void on_event(duration time)
    {
        if (tell_ && !std::exchange(begun_, true))
            tell_(gateway::run_event::begun, time);
    }

    /// Sets how the request has ended; without it, it has simply ended.
    void set_outcome(gateway::run_event outcome) noexcept
    {
        outcome_ = outcome;
    }

    /// Tells the end of the request.
    void release()
    {
        if (const auto tell = std::exchange(tell_, nullptr))
            tell(outcome_, duration::zero());
    }

private:
    listener tell_;
    bool begun_ = false;
    gateway::run_event outcome_ = gateway::run_event::ended;
};

} // namespace lovagegate::pace

#endif
