#include "lovagegate/gateway/link_pacer.hpp"

#include <algorithm>

namespace lovagegate::gateway {

namespace {

/// Share of the link that large datagrams may take; callers' streams and
/// heartbeats take the rest.
constexpr double paced_share = 0.75;

} // namespace

link_pacer::link_pacer(double link_bytes_per_s)
    : bytes_per_s_(link_bytes_per_s * paced_share)
{
}

duration link_pacer::reserve(std::size_t bytes, time_point now)
{
    const time_point at = std::max(now, free_from_);
    free_from_ =
        at + std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                 static_cast<double>(bytes) / bytes_per_s_));
    return at - now;
}

} // namespace lovagegate::gateway
