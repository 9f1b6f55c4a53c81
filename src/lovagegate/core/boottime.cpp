#include "lovagegate/core/boottime.hpp"

#include <ctime>

namespace lovagegate {

time_point boottime_now()
{
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec)));
}

} // namespace lovagegate
