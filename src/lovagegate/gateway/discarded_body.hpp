#ifndef LOVAGEGATE_GATEWAY_DISCARDED_BODY_HPP
#define LOVAGEGATE_GATEWAY_DISCARDED_BODY_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"

#include <cstddef>
#include <functional>

namespace lovagegate::gateway {

/// How far a discarded body is read in order to keep its connection.
struct discard_limits
{
    std::size_t bytes = std::size_t{64} * 1024;
    /// From the end of the head. Opening a new connection takes about as long.
    duration time = 50ms;
};

/// Limits the reading of a body that is discarded.
class discarded_body
{
public:
    /// @param on_late called if the body has not ended in time
    discarded_body(net::event_loop& loop, std::function<void()> on_late,
                   discard_limits limits = {});
    ~discarded_body();
    discarded_body(const discarded_body&) = delete;
    discarded_body& operator=(const discarded_body&) = delete;

    /// @param bytes number of bytes received
    /// @return whether reading may continue
    bool add(std::size_t bytes) noexcept;

private:
    net::event_loop& loop_;
    discard_limits limits_;
    std::size_t bytes_ = 0;
    net::timer_id timer_ = 0;
};

} // namespace lovagegate::gateway

#endif
