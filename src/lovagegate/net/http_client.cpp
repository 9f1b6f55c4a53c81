#include "lovagegate/net/http_client.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/client_callbacks.hpp"
#include "lovagegate/net/internal/headers.hpp"

#include <libwebsockets.h>
#include <utility>

namespace lovagegate::net {

namespace {

const lws_protocols client_protocols[] = {
    {"http", internal::client_callbacks::callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

lws_vhost* make_vhost(event_loop& loop, internal::client_callbacks* callbacks)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = client_protocols;
    info.user = callbacks;
    info.vhost_name = "client";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    return lws_create_vhost(loop.native(), &info);
}

} // namespace

http_client::http_client(event_loop& loop)
    : loop_(loop), callbacks_(std::make_shared<internal::client_callbacks>()),
      vhost_(make_vhost(loop, callbacks_.get()))
{
    loop_.retain(callbacks_);
    if (!vhost_)
        throw context_error("HTTP client vhost could not be created");
}

http_client::~http_client()
{
    callbacks_->alive = false;
    lws_vhost_destroy(vhost_);
}

http_call_ptr http_client::send(client_request request, call_events events)
{
    internal::check_headers(request.headers);
    auto call = std::make_shared<http_call>(loop_, std::move(request),
                                            std::move(events));
    // Deferred because libwebsockets reports some failures before
    // lws_client_connect_via_info() returns.
    loop_.post([this, call, callbacks = callbacks_] {
        if (callbacks->alive && call->is_open())
            connect(call);
    });
    return call;
}

void http_client::connect(const http_call_ptr& call)
{
    const client_request& request = call->request_;
    const std::string host =
        request.address + ':' + std::to_string(request.port);
    lws* wsi = nullptr;
    lws_client_connect_info info{};
    info.context = loop_.native();
    info.vhost = vhost_;
    info.address = request.address.c_str();
    info.port = request.port;
    info.path = request.path.c_str();
    info.host = host.c_str();
    info.method = request.method.c_str();
    info.protocol = "http";
    info.alpn = "http/1.1";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = call.get();
    info.pwsi = &wsi;
    call->self_ = call;
    if (lws_client_connect_via_info(&info)) {
        if (call->self_)
            call->start(wsi);
        return;
    }
    // Without a connection, libwebsockets retains no pointer to the call.
    if (call->is_open())
        call->on_closed();
    call->wsi_ = nullptr;
    call->self_.reset();
}

} // namespace lovagegate::net
