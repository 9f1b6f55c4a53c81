#include "lovagegate/callers/process_resources.hpp"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

#if defined(__GLIBC__)
#include <malloc.h>
#endif

namespace lovagegate::callers {

namespace {

#if defined(__GLIBC__)
/// Bodies that are larger have mappings of their own. A fixed threshold also
/// keeps glibc from raising it up to 32 MB whenever such a block is freed.
constexpr int own_mapping_bytes = 128 * 1024;
#endif
constexpr duration min_trim_interval = 1s;
/// Less isn't worth the time that the allocator takes to walk its heap.
constexpr std::size_t min_freed_bytes = std::size_t{2} * 1024 * 1024;

} // namespace

std::size_t system_descriptor_limit() noexcept
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(limit.rlim_cur);
}

void return_large_blocks() noexcept
{
#if defined(__GLIBC__)
    ::mallopt(M_MMAP_THRESHOLD, own_mapping_bytes);
#endif
}

bool memory_trimmer::check(std::size_t held_bytes, time_point now) noexcept
{
    peak_bytes_ = std::max(peak_bytes_, held_bytes);
    if (peak_bytes_ - held_bytes < min_freed_bytes ||
        now - last_ < min_trim_interval)
        return false;
    last_ = now;
    peak_bytes_ = held_bytes;
#if defined(__GLIBC__)
    ::malloc_trim(0);
#endif
    return true;
}

} // namespace lovagegate::callers
