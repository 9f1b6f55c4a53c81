#ifndef LOVAGEGATE_GATEWAY_PEER_SENDER_HPP
#define LOVAGEGATE_GATEWAY_PEER_SENDER_HPP

#include "lovagegate/gateway/gateway_state.hpp"
#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/net/tcp_stream.hpp"

#include <cstddef>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Sends datagrams to the other instances, and counts them.
class peer_sender
{
public:
    /// @param socket that they are sent from
    peer_sender(net::datagram_socket& socket, gateway_state& state,
                std::mt19937_64& random);

    void send(const std::string& address, const peer_message& message);

    /// @param datagram encoded message
    void send_datagram(const std::string& address, std::string_view datagram);

    /// Sends a message to all other live instances.
    void send_to_others(const peer_message& message);

    /// Sends a message to a few other instances, chosen at random. Each
    /// receiver that learns something passes it on, so that all have it after a
    /// few steps.
    void send_to_some(const peer_message& message);

    /// @return addresses of other live instances, at most `count`
    [[nodiscard]] std::vector<std::string> random_others(std::size_t count);

private:
    net::datagram_socket& socket_;
    gateway_state& state_;
    std::mt19937_64& random_;
};

} // namespace lovagegate::gateway

#endif
