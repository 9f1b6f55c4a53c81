#ifndef LOVAGEGATE_GATEWAY_LINK_PACER_HPP
#define LOVAGEGATE_GATEWAY_LINK_PACER_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::gateway {

/// Spreads large datagrams over time, since a link that is full drops them.
class link_pacer
{
public:
    /// @param link_bytes_per_s bandwidth of the machine's link
    explicit link_pacer(double link_bytes_per_s);

    /// Reserves the link for one datagram.
    /// @return the delay after which the datagram may be sent
    duration reserve(std::size_t bytes, time_point now);

    /// @return whether datagrams for which the link is reserved are not sent
    /// yet
    [[nodiscard]] bool is_busy(time_point now) const noexcept
    {
        return now < free_from_;
    }

private:
    double bytes_per_s_;
    time_point free_from_{};
};

} // namespace lovagegate::gateway

#endif
