#ifndef LOVAGEGATE_NET_INTERNAL_SERVER_CALLBACKS_HPP
#define LOVAGEGATE_NET_INTERNAL_SERVER_CALLBACKS_HPP

#include "lovagegate/net/http_server.hpp"

#include <libwebsockets.h>

namespace lovagegate::net::internal {

/// What the library's callbacks reach a server through: it outlives the
/// server, because the library closes connections after their server is gone.
struct server_callbacks
{
    http_server* server = nullptr;
    lws_vhost* vhost = nullptr;

    /// The library's callback for all events of a server's connections.
    static int callback(lws* wsi, lws_callback_reasons reason, void* user,
                        void* in, std::size_t size);

private:
    int connection_event(lws* wsi, lws_callback_reasons reason, void* in,
                         std::size_t size);
    void accept(lws* wsi);
};

} // namespace lovagegate::net::internal

#endif
