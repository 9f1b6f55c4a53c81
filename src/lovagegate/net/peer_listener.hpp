#ifndef LOVAGEGATE_NET_PEER_LISTENER_HPP
#define LOVAGEGATE_NET_PEER_LISTENER_HPP

#include "lovagegate/net/peer_link.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace lovagegate::net {

/// Accepts links from other instances on one address.
class peer_listener
{
public:
    /// @param loop must outlive the listener
    /// @param address IP address to bind
    /// @param port port to bind; 0 for any free port
    /// @param settings limits of each link
    /// @param events callbacks of all links
    /// @throws bind_error if the address cannot be bound
    peer_listener(event_loop& loop, const std::string& address,
                  std::uint16_t port, const peer_settings& settings,
                  peer_events events);
    ~peer_listener();
    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;

    /// @return the bound port
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    std::shared_ptr<internal::peer_callbacks> callbacks_;
    std::uint16_t port_ = 0;
};

} // namespace lovagegate::net

#endif
