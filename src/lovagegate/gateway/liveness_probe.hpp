#ifndef LOVAGEGATE_GATEWAY_LIVENESS_PROBE_HPP
#define LOVAGEGATE_GATEWAY_LIVENESS_PROBE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/short_call.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <functional>
#include <memory>

namespace lovagegate::gateway {

/// Asks a target that sends nothing for its report, to tell one that is busy
/// from one that is gone.
class liveness_probe
{
public:
    /// @param lives whether any answer came in time
    using done_handler = std::function<void(bool alive)>;

    /// @param connections most to the target
    /// @param done runs once, later, unless the probe is destroyed before
    liveness_probe(net::event_loop& loop, target_pool& pool,
                   const target_entry& target, std::size_t max_connections,
                   done_handler done);

private:
    std::unique_ptr<short_call> call_;
};

} // namespace lovagegate::gateway

#endif
