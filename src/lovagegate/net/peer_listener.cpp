#include "lovagegate/net/peer_listener.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/peer_slot.hpp"

#include <utility>

namespace lovagegate::net {

peer_listener::peer_listener(event_loop& loop, const std::string& address,
                             std::uint16_t port, const peer_settings& settings,
                             peer_events events)
    : slot_(std::make_shared<internal::peer_slot>())
{
    slot_->settings = settings;
    slot_->events = std::move(events);
    loop.keep(slot_);
    slot_->create(loop, address, port);
    if (!slot_->vhost)
        throw bind_error("cannot bind " + address + ':' + std::to_string(port));
    port_ = static_cast<std::uint16_t>(lws_get_vhost_listen_port(slot_->vhost));
}

peer_listener::~peer_listener()
{
    slot_->close();
}

} // namespace lovagegate::net
