#include "lovagegate/net/peer_connector.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/peer_callbacks.hpp"

#include <utility>

namespace lovagegate::net {

peer_connector::peer_connector(event_loop& loop, const peer_settings& settings)
    : loop_(loop), settings_(settings),
      callbacks_(std::make_shared<internal::peer_callbacks>())
{
    loop.retain(callbacks_);
    callbacks_->settings = settings;
    callbacks_->create(loop, {}, 0);
    if (!callbacks_->vhost)
        throw context_error("peer connector vhost could not be created");
}

peer_connector::~peer_connector()
{
    callbacks_->close();
}

peer_link_ptr peer_connector::connect(const std::string& address,
                                      std::uint16_t port, peer_events events)
{
    auto link = std::make_shared<peer_link>(loop_, settings_, std::move(events),
                                            address);
    // Deferred because libwebsockets reports some failures before
    // lws_client_connect_via_info() returns.
    loop_.post([this, link, port, callbacks = callbacks_] {
        if (callbacks->loop && !link->closed_)
            open(link, port);
    });
    return link;
}

void peer_connector::open(const peer_link_ptr& link, std::uint16_t port)
{
    lws* wsi = nullptr;
    lws_client_connect_info info{};
    info.context = loop_.native();
    info.vhost = callbacks_->vhost;
    info.address = link->remote_address_.c_str();
    info.host = link->remote_address_.c_str();
    info.port = port;
    info.path = "/peer";
    info.protocol = internal::peer_protocol;
    info.opaque_user_data = link.get();
    info.pwsi = &wsi;
    link->self_ = link;
    if (lws_client_connect_via_info(&info)) {
        if (link->self_)
            link->start(wsi);
        return;
    }
    link->on_disconnected();
    link->wsi_ = nullptr;
    link->self_.reset();
}

} // namespace lovagegate::net
