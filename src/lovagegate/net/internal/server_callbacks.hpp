#ifndef LOVAGEGATE_NET_INTERNAL_SERVER_CALLBACKS_HPP
#define LOVAGEGATE_NET_INTERNAL_SERVER_CALLBACKS_HPP

#include "lovagegate/net/http_server.hpp"

#include <libwebsockets.h>

namespace lovagegate::net::internal {

/// libwebsockets callback of an http_server, and its state. Outlives the
/// server, because libwebsockets closes connections after the server is
/// destroyed.
struct server_callbacks
{
    http_server* server = nullptr;
    lws_vhost* vhost = nullptr;

    /// Handles all events of the server's connections.
    static int callback(lws* wsi, lws_callback_reasons reason, void* user,
                        void* in, std::size_t size);

private:
    int connection_event(lws* wsi, lws_callback_reasons reason, void* in,
                         std::size_t size);
    void accept(lws* wsi);
};

} // namespace lovagegate::net::internal

#endif
