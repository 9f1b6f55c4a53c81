#ifndef LOVAGEGATE_STANDINS_COMMON_PROCESS_HPP
#define LOVAGEGATE_STANDINS_COMMON_PROCESS_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_server.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

/// Small stand-ins for the platform, the targets and the weight store.
namespace lovagegate::standins {

/// What all stand-ins share.
struct process_options
{
    /// Port on 127.0.0.1; 0 takes a free one.
    std::uint16_t port = 0;
    /// The process ends by itself after this time.
    std::optional<duration> run_for;
};

/// Largest body that a stand-in takes: a ticket and its JSON quotes.
inline constexpr std::size_t max_body_bytes = std::size_t{8} << 20U;

/// @return settings of a stand-in's server
[[nodiscard]] net::http_server_settings
server_settings(const process_options& options);

/// Prints the address and serves until SIGTERM, SIGINT or the end of the
/// time. One call for each process.
/// @param name of the stand-in, for the line that is printed
/// @param loop to run
/// @param server whose port is printed
/// @param options bound on the time
void serve(std::string_view name, net::event_loop& loop,
           const net::http_server& server, const process_options& options);

} // namespace lovagegate::standins

#endif
