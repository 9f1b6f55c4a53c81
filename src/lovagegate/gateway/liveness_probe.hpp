#ifndef LOVAGEGATE_GATEWAY_LIVENESS_PROBE_HPP
#define LOVAGEGATE_GATEWAY_LIVENESS_PROBE_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/short_call.hpp"
#include "lovagegate/gateway/target_directory.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace lovagegate::gateway {

/// What a probe of a silent target has shown.
enum class probe_result : std::uint8_t
{
    answered,      ///< the target at least began to answer in time
    no_answer,     ///< nothing arrived in time
    refused,       ///< nothing listens at the target's address
    unreachable,   ///< connecting failed for another reason
    no_connection, ///< the probe could not be sent
    broken,        ///< the connection broke before an answer
    not_an_answer, ///< the target sent bytes that do not begin an answer
};

/// @return the name used in counters and logs
[[nodiscard]] std::string_view to_string(probe_result r) noexcept;

/// What a probe says about whether its target lives.
enum class liveness : std::uint8_t
{
    alive,
    gone,
    unknown ///< the probe failed for a reason that doesn't show it
};

/// An overloaded engine resets connections that it has no room for, and a kept
/// connection may have been closed meanwhile, so a probe that broke or could
/// not be sent says nothing about its target.
[[nodiscard]] liveness liveness_shown_by(probe_result r) noexcept;

/// Requests the report of a silent target, to distinguish a busy target from
/// one that is down.
class liveness_probe
{
public:
    using done_handler = std::function<void(probe_result)>;

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
