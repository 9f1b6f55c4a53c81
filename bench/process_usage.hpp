#ifndef LOVAGEGATE_BENCH_PROCESS_USAGE_HPP
#define LOVAGEGATE_BENCH_PROCESS_USAGE_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/core/time.hpp"

#include <cstdint>

namespace lovagegate::bench {

/// The process is not there.
class process_error : public error
{
public:
    using error::error;
};

/// What a process has used.
struct process_usage
{
    duration cpu_time{};
    std::uint64_t resident_kib = 0;
};

/// @param pid number of the process
/// @throws process_error when there is no such process
[[nodiscard]] process_usage usage_of(int pid);

} // namespace lovagegate::bench

#endif
