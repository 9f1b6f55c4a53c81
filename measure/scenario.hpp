#ifndef LOVAGEGATE_MEASURE_SCENARIO_HPP
#define LOVAGEGATE_MEASURE_SCENARIO_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/pool_settings.hpp"
#include "lovagegate/ticket/model.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovagegate::measure {

/// The command line asks for something that does not exist.
class usage_error : public error
{
public:
    using error::error;
};

/// Requests of one priority.
struct priority_mix
{
    double share = 0.0;
    duration deadline{}; ///< until the first token
    double tokens = 0.0; ///< mean length of an answer
};

/// How an engine works through its batch.
struct engine_speed
{
    duration step = 20ms; ///< one token for each running request
    duration step_per_request = 300us;
    duration prefill = 30ms; ///< once for each request
    std::size_t max_batch = 16;
};

/// What is measured, in sizes.
struct deployment
{
    std::string name;
    std::size_t engines = 12;
    std::size_t domains = 3;
    std::size_t slots = 4;
    std::size_t adapters = 3000;
    std::size_t gateways = 9;
    std::size_t pool_size = 16;
    double zipf = 0.9;
    double rate = 5.0; ///< requests a second
    duration link = 500us;
    ticket::weight_store store;
    duration load_time = 250ms;
    engine_speed speed;
    std::array<priority_mix, priority_count> mix;
    pool::pool_settings pool;
    duration warm_up = 900s;
    duration length = 600s; ///< measured after the warm-up
};

/// What goes wrong, and when after the warm-up.
struct scenario
{
    std::string name = "steady";
    bool shift = false;        ///< all adapters change their popularity
    double hourly_shift = 0.0; ///< share of adapters that change in an hour
    bool restart = false;      ///< one engine restarts empty
    bool domain_lost = false;
    double load_failures = 0.0; ///< share of loads
    double slow_store = 1.0;    ///< times the load time
    duration report_age = 200ms;
    double overload = 1.0; ///< times the rate for a minute
    double message_loss = 0.0;
};

/// Time after the warm-up at which the event of a scenario happens.
inline constexpr duration event_time = 120s;
/// Length of an overload.
inline constexpr duration overload_time = 60s;

/// @throw usage_error for an unknown name
[[nodiscard]] deployment find_deployment(const std::string& name);
/// @throw usage_error for an unknown name
[[nodiscard]] scenario find_scenario(const std::string& name);
/// @return the names of all scenarios
[[nodiscard]] std::vector<std::string> scenario_names();

} // namespace lovagegate::measure

#endif
