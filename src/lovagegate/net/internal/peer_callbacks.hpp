#ifndef LOVAGEGATE_NET_INTERNAL_PEER_CALLBACKS_HPP
#define LOVAGEGATE_NET_INTERNAL_PEER_CALLBACKS_HPP

#include "lovagegate/net/peer_link.hpp"

#include <libwebsockets.h>

namespace lovagegate::net::internal {

/// WebSocket subprotocol between instances.
inline constexpr const char* peer_protocol = "lovagegate-peer";

/// libwebsockets callback of a listener or connector, and its state. Outlives
/// the listener or connector.
struct peer_callbacks
{
    event_loop* loop = nullptr; ///< null once the owner is destroyed
    peer_settings settings;
    peer_events events; ///< callbacks of accepted links
    lws_vhost* vhost = nullptr;
    std::size_t open_accepted_links = 0; ///< accepted links that are open

    /// Creates the libwebsockets vhost; vhost stays null on failure.
    /// @param address IP address to listen on; empty for a connector
    void create(event_loop& on, const std::string& address, std::uint16_t port);
    void close();

    static int callback(lws* wsi, lws_callback_reasons reason, void* user,
                        void* in, std::size_t size);

private:
    int accept(lws* wsi);
    int link_event(peer_link& link, lws* wsi, lws_callback_reasons reason,
                   void* in, std::size_t size);
    void drop(peer_link& link, lws* wsi, bool was_accepted);
};

} // namespace lovagegate::net::internal

#endif
