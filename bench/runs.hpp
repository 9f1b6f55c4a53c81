#ifndef LOVAGEGATE_BENCH_RUNS_HPP
#define LOVAGEGATE_BENCH_RUNS_HPP

#include "bench/garbage_source.hpp"
#include "bench/load_source.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovagegate::bench {

/// Measures the latency that the gateway adds. Runs the same load directly
/// against an engine and through the gateway at the same time.
/// @param load load to each target; its own target is the gateway
/// @param direct address of the engine
/// @return time to first token and token gap of both, and their differences
[[nodiscard]] nlohmann::json run_streams(const load_options& load,
                                         const settings::endpoint& direct);

/// Measures throughput with a closed-loop load.
/// @param load load to generate; its number of requests is ignored
/// @param pid gateway process, to read its CPU time
/// @param length time for which requests are sent
/// @return requests and tokens per second and per second of CPU time
[[nodiscard]] nlohmann::json run_throughput(load_options load, int pid,
                                            duration length);

/// Measures resident memory at four increasing numbers of open streams.
/// @param load load to generate; its streams is the largest number
/// @param pid gateway process, to read its memory
/// @return memory at each number of streams, and the growth per stream
[[nodiscard]] nlohmann::json run_memory(const load_options& load, int pid);

/// Opens malformed connections while valid requests are sent.
/// @param load valid requests; their number is ignored
/// @param garbage malformed connections
/// @param pid gateway process, to read its memory
/// @return results of the valid requests, and memory before, during and after
[[nodiscard]] nlohmann::json
run_garbage(load_options load, const garbage_options& garbage, int pid);

} // namespace lovagegate::bench

#endif
