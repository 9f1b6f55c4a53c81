#include "lovagegate/callers/deadlines.hpp"

namespace lovagegate::callers {

namespace {

/// Time limit for receiving a body, as a multiple of the time limit for heads.
constexpr int body_timeout_factor = 5;
/// Rate that a slow network reaches; a body of 4 MB takes 64 s at this rate.
constexpr std::size_t min_body_bytes_per_s = std::size_t{64} * 1024;
constexpr std::size_t min_delivery_bytes_per_s = std::size_t{16} * 1024;
/// How often a late event loop may exceed a time limit.
constexpr int late_loop_factor = 2;

duration time_for(std::size_t bytes, std::size_t bytes_per_s) noexcept
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        static_cast<double>(bytes) / static_cast<double>(bytes_per_s)));
}

} // namespace

overdue overdue_part(const received_part& part, duration head_timeout) noexcept
{
    const duration limit =
        part.head_complete ? body_timeout_factor * head_timeout +
                                 time_for(part.body_bytes, min_body_bytes_per_s)
                           : head_timeout;
    // What is overdue may have arrived unread, but a caller that sends without
    // a pause must not be exempt for good.
    const int factor = part.has_unread_input ? late_loop_factor : 1;
    if (part.age <= factor * limit)
        return overdue::nothing;
    return part.head_complete ? overdue::body : overdue::head;
}

duration delivery_timeout(duration idle_timeout, std::size_t bytes) noexcept
{
    return idle_timeout + time_for(bytes, min_delivery_bytes_per_s);
}

} // namespace lovagegate::callers
