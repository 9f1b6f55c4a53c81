#ifndef LOVAGEGATE_BENCH_RUNS_HPP
#define LOVAGEGATE_BENCH_RUNS_HPP

#include "bench/garbage_source.hpp"
#include "bench/load_source.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovagegate::bench {

/// Streams to the engine and through the gateway at the same time.
/// @param load the load on each side; its target is the gateway
/// @param direct the engine
/// @return first token and token gap of both sides, and the difference
[[nodiscard]] nlohmann::json run_streams(const load_options& load,
                                         const settings::endpoint& direct);

/// A closed loop for a time.
/// @param load the load
/// @param pid gateway process, for its processor time
/// @param length how long to send
/// @return requests and tokens each second, and per second of processor time
[[nodiscard]] nlohmann::json run_throughput(load_options load, int pid,
                                            duration length);

/// Resident memory with a growing number of open streams.
/// @param load its streams is the largest number
/// @param pid gateway process
/// @return memory at each of four sizes and the slope
[[nodiscard]] nlohmann::json run_memory(const load_options& load, int pid);

/// Garbage and half requests while good requests flow.
/// @param load good requests
/// @param garbage bad connects
/// @param pid gateway process, for its memory
[[nodiscard]] nlohmann::json
run_garbage(load_options load, const garbage_options& garbage, int pid);

} // namespace lovagegate::bench

#endif
