#include "lovagegate/net/internal/peer_callbacks.hpp"

#include <array>

namespace lovagegate::net::internal {

namespace {

/// Largest part of a message that libwebsockets passes to one receive callback.
constexpr std::size_t max_receive_bytes = std::size_t{64} * 1024;

const lws_protocols peer_protocols[] = {
    {peer_protocol, peer_callbacks::callback, 0, max_receive_bytes, 0, nullptr,
     0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

/// From accepting a connection to the end of the WebSocket handshake.
constexpr lws_usec_t websocket_handshake_timeout_us = 5 * LWS_US_PER_SEC;

peer_link* link_of(lws* wsi)
{
    return static_cast<peer_link*>(lws_get_opaque_user_data(wsi));
}

} // namespace

void peer_callbacks::create(event_loop& on, const std::string& address,
                            std::uint16_t port)
{
    loop = &on;
    lws_context_creation_info info{};
    info.port = address.empty() ? CONTEXT_PORT_NO_LISTEN : port;
    info.iface = address.empty() ? nullptr : address.c_str();
    info.protocols = peer_protocols;
    info.user = this;
    info.vhost_name = "peer";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    vhost = lws_create_vhost(on.native(), &info);
}

void peer_callbacks::close()
{
    loop = nullptr;
    events = {};
    if (vhost)
        lws_vhost_destroy(vhost);
    vhost = nullptr;
}

int peer_callbacks::accept(lws* wsi)
{
    if (!loop || open_accepted_links >= settings.max_links)
        return -1;
    std::array<char, 64> address{};
    lws_get_peer_simple(wsi, address.data(), address.size());
    auto link = std::make_shared<peer_link>(*loop, settings, events,
                                            std::string(address.data()));
    link->self_ = link;
    lws_set_opaque_user_data(wsi, link.get());
    lws_set_timer_usecs(wsi, LWS_SET_TIMER_USEC_CANCEL);
    ++open_accepted_links;
    link->on_established(wsi);
    return 0;
}

void peer_callbacks::drop(peer_link& link, lws* wsi, bool was_accepted)
{
    if (was_accepted)
        --open_accepted_links;
    lws_set_opaque_user_data(wsi, nullptr);
    if (loop)
        link.on_disconnected();
    link.open_ = false;
    link.closed_ = true;
    link.wsi_ = nullptr;
    link.self_.reset();
}

int peer_callbacks::callback(lws* wsi, lws_callback_reasons reason, void*,
                             void* in, std::size_t size)
{
    lws_vhost* const on = wsi ? lws_get_vhost(wsi) : nullptr;
    auto* callbacks =
        on ? static_cast<peer_callbacks*>(lws_get_vhost_user(on)) : nullptr;
    if (!callbacks)
        return 0;
    if (reason == LWS_CALLBACK_ESTABLISHED)
        return callbacks->accept(wsi);
    if (reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED)
        lws_set_timer_usecs(wsi, websocket_handshake_timeout_us);
    auto* link = link_of(wsi);
    if (link) {
        const auto guard = link->shared_from_this();
        return callbacks->link_event(*link, wsi, reason, in, size);
    }
    // Closes plain HTTP requests and connections whose handshake timed out.
    return reason == LWS_CALLBACK_HTTP || reason == LWS_CALLBACK_TIMER ? -1 : 0;
}

int peer_callbacks::link_event(peer_link& link, lws* wsi,
                               lws_callback_reasons reason, void* in,
                               std::size_t size)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
        link.on_established(wsi);
        return 0;
    case LWS_CALLBACK_RECEIVE:
    case LWS_CALLBACK_CLIENT_RECEIVE:
        return link.on_receive({static_cast<const char*>(in), size},
                               lws_is_first_fragment(wsi) != 0,
                               lws_is_final_fragment(wsi) != 0 &&
                                   lws_remaining_packet_payload(wsi) == 0);
    case LWS_CALLBACK_SERVER_WRITEABLE:
    case LWS_CALLBACK_CLIENT_WRITEABLE:
        return link.on_writeable();
    case LWS_CALLBACK_CLOSED:
        drop(link, wsi, true);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLIENT_CLOSED:
        if (loop)
            link.on_disconnected();
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        drop(link, wsi, false);
        return 0;
    default:
        return 0;
    }
}

} // namespace lovagegate::net::internal
