#ifndef LOVAGEGATE_BENCH_PROCESS_USAGE_HPP
#define LOVAGEGATE_BENCH_PROCESS_USAGE_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/core/time.hpp"

#include <cstdint>

namespace lovagegate::bench {

/// Thrown when the usage of a process cannot be read.
class process_error : public error
{
public:
    using error::error;
};

/// CPU time and memory use of a process.
struct process_usage
{
    duration cpu_time{};
    std::uint64_t resident_kib = 0;
};

/// Reads the usage of a process from /proc.
/// @param pid process id
/// @throws process_error when there is no such process
[[nodiscard]] process_usage usage_of(int pid);

} // namespace lovagegate::bench

#endif
