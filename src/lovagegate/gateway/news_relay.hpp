#ifndef LOVAGEGATE_GATEWAY_NEWS_RELAY_HPP
#define LOVAGEGATE_GATEWAY_NEWS_RELAY_HPP

#include "lovagegate/gateway/member_table.hpp"

#include <random>
#include <string>
#include <vector>

namespace lovagegate::gateway {

/// One receiver of a message, and those to which it passes the message on.
struct relay_group
{
    std::string relay;
    std::vector<std::string> others;
};

/// Divides the live members into groups, so that a message reaches all of them
/// while no instance sends it more often than about the square root of their
/// number. The groups keep to failure domains. Relays are drawn anew for each
/// message: one that is down costs its group one message and not all of them.
/// @return one group for each member in small fleets
[[nodiscard]] std::vector<relay_group>
make_relay_groups(const member_table& members, time_point now,
                  std::mt19937_64& random);

} // namespace lovagegate::gateway

#endif
