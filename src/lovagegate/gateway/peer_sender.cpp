#include "lovagegate/gateway/peer_sender.hpp"

#include <algorithm>

namespace lovagegate::gateway {

peer_sender::peer_sender(net::datagram_socket& socket, gateway_state& state,
                         std::mt19937_64& random)
    : socket_(socket), state_(state), random_(random)
{
}

void peer_sender::send(const std::string& address, const peer_message& message)
{
    send_datagram(address, encode(message));
}

void peer_sender::send_datagram(const std::string& address,
                                std::string_view datagram)
{
    state_.counts.add("peer_datagrams_sent");
    state_.counts.add("peer_bytes_sent", datagram.size());
    socket_.send({address, state_.boot.peer_port}, datagram);
}

void peer_sender::send_to_others(const peer_message& message)
{
    const std::string datagram = encode(message);
    for (const auto& address :
         state_.members.alive(net::event_loop::now().mono))
        if (address != state_.boot.address)
            send_datagram(address, datagram);
}

void peer_sender::send_to_some(const peer_message& message)
{
    constexpr std::size_t receivers = 4;
    for (const auto& address : random_others(receivers))
        send(address, message);
}

std::vector<std::string> peer_sender::random_others(std::size_t count)
{
    auto others = state_.members.alive(net::event_loop::now().mono);
    std::erase(others, state_.boot.address);
    std::ranges::shuffle(others, random_);
    others.resize(std::min(others.size(), count));
    return others;
}

} // namespace lovagegate::gateway
