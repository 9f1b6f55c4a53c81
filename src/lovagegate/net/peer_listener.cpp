#include "lovagegate/net/peer_listener.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/peer_callbacks.hpp"

#include <utility>

namespace lovagegate::net {

peer_listener::peer_listener(event_loop& loop, const std::string& address,
                             std::uint16_t port, const peer_settings& settings,
                             peer_events events)
    : callbacks_(std::make_shared<internal::peer_callbacks>())
{
    callbacks_->settings = settings;
    callbacks_->events = std::move(events);
    loop.retain(callbacks_);
    callbacks_->create(loop, address, port);
    if (!callbacks_->vhost)
        throw bind_error("cannot bind " + address + ':' + std::to_string(port));
    port_ = static_cast<std::uint16_t>(
        lws_get_vhost_listen_port(callbacks_->vhost));
}

peer_listener::~peer_listener()
{
    callbacks_->close();
}

} // namespace lovagegate::net
