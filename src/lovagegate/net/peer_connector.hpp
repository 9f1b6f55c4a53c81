#ifndef LOVAGEGATE_NET_PEER_CONNECTOR_HPP
#define LOVAGEGATE_NET_PEER_CONNECTOR_HPP

#include "lovagegate/net/peer_link.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace lovagegate::net {

/// Opens links to other instances.
class peer_connector
{
public:
    /// @param loop must outlive the connector
    /// @param settings limits of each link
    /// @throws context_error if the libwebsockets vhost cannot be created
    peer_connector(event_loop& loop, const peer_settings& settings);
    ~peer_connector();
    peer_connector(const peer_connector&) = delete;
    peer_connector& operator=(const peer_connector&) = delete;

    /// Starts opening a link. Callbacks run later, never within connect().
    /// @param address IP address of the other instance
    /// @param port peer port of the other instance
    /// @return the link; messages may be queued on it immediately
    peer_link_ptr connect(const std::string& address, std::uint16_t port,
                          peer_events events);

private:
    void open(const peer_link_ptr& link, std::uint16_t port);

    event_loop& loop_;
    peer_settings settings_;
    std::shared_ptr<internal::peer_callbacks> callbacks_;
};

} // namespace lovagegate::net

#endif
