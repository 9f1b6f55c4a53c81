#ifndef LOVAGEGATE_GATEWAY_DISCARDED_BODY_HPP
#define LOVAGEGATE_GATEWAY_DISCARDED_BODY_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"

#include <cstddef>
#include <functional>

namespace lovagegate::gateway {

/// How far a body that nobody gets is read, so that its connection can be
/// kept.
struct discard_limits
{
    std::size_t bytes = std::size_t{64} * 1024;
    /// From the head. A new connection takes about as long.
    duration time = 50ms;
};

/// Bounds the reading of one body that is thrown away.
class discarded_body
{
public:
    /// @param on_late runs when the body has not ended in time
    discarded_body(net::event_loop& loop, std::function<void()> on_late,
                   discard_limits limits = {});
    ~discarded_body();
    discarded_body(const discarded_body&) = delete;
    discarded_body& operator=(const discarded_body&) = delete;

    /// @param bytes that came
    /// @return whether it may be read on
    bool add(std::size_t bytes) noexcept;

private:
    net::event_loop& loop_;
    discard_limits limits_;
    std::size_t bytes_ = 0;
    net::timer_id timer_ = 0;
};

} // namespace lovagegate::gateway

#endif
