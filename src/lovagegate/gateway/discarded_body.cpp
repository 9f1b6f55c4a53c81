#include "lovagegate/gateway/discarded_body.hpp"

#include <utility>

namespace lovagegate::gateway {

discarded_body::discarded_body(net::event_loop& loop,
                               std::function<void()> on_late,
                               discard_limits limits)
    : loop_(loop), limits_(limits)
{
    timer_ = loop_.call_later(limits_.time, [this, late = std::move(on_late)] {
        timer_ = 0;
        // Copied, since the function may destroy this object.
        const auto run = late;
        run();
    });
}

discarded_body::~discarded_body()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
}

bool discarded_body::add(std::size_t bytes) noexcept
{
    bytes_ += bytes;
    return bytes_ <= limits_.bytes;
}

} // namespace lovagegate::gateway
