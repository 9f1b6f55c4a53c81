#ifndef LOVAGEGATE_NET_INTERNAL_CLIENT_CALLBACKS_HPP
#define LOVAGEGATE_NET_INTERNAL_CLIENT_CALLBACKS_HPP

#include "lovagegate/net/http_call.hpp"

#include <libwebsockets.h>

namespace lovagegate::net::internal {

/// libwebsockets callback for the connections of an http_client, and its state.
/// Outlives the client.
struct client_callbacks
{
    bool alive = true; ///< false once the client is destroyed

    static int callback(lws* wsi, lws_callback_reasons reason, void* user,
                        void* in, std::size_t size);

private:
    static int call_event(http_call& call, lws* wsi,
                          lws_callback_reasons reason, void* in,
                          std::size_t size);
    static void drop(lws* wsi, http_call& call);
};

} // namespace lovagegate::net::internal

#endif
