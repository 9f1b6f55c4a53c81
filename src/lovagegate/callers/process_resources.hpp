#ifndef LOVAGEGATE_CALLERS_PROCESS_RESOURCES_HPP
#define LOVAGEGATE_CALLERS_PROCESS_RESOURCES_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::callers {

/// @return number of descriptors that the system allows the process
[[nodiscard]] std::size_t system_descriptor_limit() noexcept;

/// Makes the allocator return large freed blocks to the system immediately.
/// Does nothing with allocators other than glibc's.
void return_large_blocks() noexcept;

/// Returns freed memory to the system at a bounded rate, which small freed
/// blocks between used ones otherwise keep.
class memory_trimmer
{
public:
    /// Trims if much less is held than at the last peak. To be called at an
    /// interval.
    /// @param held_bytes bytes that are held for callers
    /// @return whether memory was returned
    bool check(std::size_t held_bytes, time_point now) noexcept;

private:
    std::size_t peak_bytes_ = 0;
    time_point last_{};
};

} // namespace lovagegate::callers

#endif
