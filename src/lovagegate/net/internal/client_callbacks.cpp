#include "lovagegate/net/internal/client_callbacks.hpp"

namespace lovagegate::net::internal {

int client_callbacks::callback(lws* wsi, lws_callback_reasons reason, void*,
                               void* in, std::size_t size)
{
    if (!wsi)
        return 0;
    auto* call = static_cast<http_call*>(lws_get_opaque_user_data(wsi));
    if (!call)
        return 0;
    const auto guard = call->shared_from_this();
    const auto* callbacks = static_cast<const client_callbacks*>(
        lws_get_vhost_user(lws_get_vhost(wsi)));
    if (callbacks && !callbacks->alive)
        call->cancel();
    return call_event(*call, wsi, reason, in, size);
}

void client_callbacks::drop(lws* wsi, http_call& call)
{
    lws_set_opaque_user_data(wsi, nullptr);
    call.wsi_ = nullptr;
    call.self_.reset();
}

int client_callbacks::call_event(http_call& call, lws* wsi,
                                 lws_callback_reasons reason, void* in,
                                 std::size_t size)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        call.wsi_ = wsi;
        return call.on_handshake(static_cast<unsigned char**>(in), size);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return call.on_head();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return call.on_readable();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        call.on_data({static_cast<const char*>(in), size});
        return 0;
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call.on_writeable();
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        call.on_completed();
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        call.on_closed();
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        call.on_closed();
        drop(wsi, call);
        return 0;
    default:
        return 0;
    }
}

} // namespace lovagegate::net::internal
