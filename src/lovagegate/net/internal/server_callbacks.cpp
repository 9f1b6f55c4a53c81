#include "lovagegate/net/internal/server_callbacks.hpp"

#include "lovagegate/net/internal/server_connection.hpp"

namespace lovagegate::net::internal {

namespace {

server_connection* connection_of(lws* wsi)
{
    return static_cast<server_connection*>(lws_get_opaque_user_data(wsi));
}

void drop(lws* wsi)
{
    const auto* connection = connection_of(wsi);
    lws_set_opaque_user_data(wsi, nullptr);
    delete connection;
}

} // namespace

int server_callbacks::callback(lws* wsi, lws_callback_reasons reason, void*,
                               void* in, std::size_t size)
{
    lws_vhost* const vhost = wsi ? lws_get_vhost(wsi) : nullptr;
    auto* callbacks =
        vhost ? static_cast<server_callbacks*>(lws_get_vhost_user(vhost))
              : nullptr;
    if (!callbacks)
        return 0;
    return callbacks->connection_event(wsi, reason, in, size);
}

void server_callbacks::accept(lws* wsi)
{
    lws_set_opaque_user_data(wsi, new server_connection(*server, wsi));
}

int server_callbacks::connection_event(lws* wsi, lws_callback_reasons reason,
                                       void* in, std::size_t size)
{
    switch (reason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        return server && server->admit_connection() ? 0 : -1;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        if (!server)
            return -1;
        accept(wsi);
        return 0;
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
        return -1;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        drop(wsi);
        return 0;
    default:
        break;
    }
    auto* connection = connection_of(wsi);
    if (!connection)
        return reason == LWS_CALLBACK_HTTP ? -1 : 0;
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return connection->on_head();
    case LWS_CALLBACK_HTTP_BODY:
        return connection->on_body({static_cast<const char*>(in), size});
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return connection->on_body_end();
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return connection->on_writeable();
    case LWS_CALLBACK_TIMER:
        return connection->on_timer();
    default:
        return 0;
    }
}

} // namespace lovagegate::net::internal
