#ifndef LOVAGEGATE_STANDINS_ENGINE_OPTIONS_HPP
#define LOVAGEGATE_STANDINS_ENGINE_OPTIONS_HPP

#include "lovagegate/settings/endpoint.hpp"
#include "standins/common/process.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace lovagegate::standins {

struct engine_options
{
    process_options process;
    /// Name in answers and histories.
    std::string name = "engine";
    /// Base model, listed beside the adapters.
    std::string model = "base";
    /// Adapters held at once.
    std::size_t slots = 4;
    /// Requests that run at once; others wait by priority.
    std::size_t batch_limit = 16;
    /// Time from the start of a request to its first token.
    duration first_token = 20ms;
    /// Time between two tokens of a request.
    duration token_interval = 10ms;
    /// Time of a load when there is no store.
    duration load_time = 250ms;
    /// Weight store to fetch from.
    std::optional<settings::endpoint> store;
    /// Refuse orders with a lower fencing token than one seen before.
    bool check_fencing = false;
    /// Time after a crash during which every connection is dropped.
    duration restart_time = 300ms;
};

} // namespace lovagegate::standins

#endif
