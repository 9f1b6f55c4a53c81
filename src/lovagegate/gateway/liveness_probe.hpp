#ifndef LOVAGEGATE_GATEWAY_LIVENESS_PROBE_HPP
#define LOVAGEGATE_GATEWAY_LIVENESS_PROBE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/short_call.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <functional>
#include <memory>

namespace lovagegate::gateway {

/// Requests the report of a silent target, to distinguish a busy target from
/// one that is down.
class liveness_probe
{
public:
    /// @param alive whether any answer arrived in time
    using done_handler = std::function<void(bool alive)>;

    /// @param max_connections largest number of connections to the target
    /// @param done called once, after the constructor has returned, unless the
    ///        probe is destroyed before
    liveness_probe(net::event_loop& loop, target_pool& pool,
                   const target_entry& target, std::size_t max_connections,
                   done_handler done);

private:
    std::unique_ptr<short_call> call_;
};

} // namespace lovagegate::gateway

#endif
