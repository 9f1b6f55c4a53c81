#include "lovagegate/net/peer_connector.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/peer_slot.hpp"

#include <utility>

namespace lovagegate::net {

peer_connector::peer_connector(event_loop& loop, const peer_settings& settings)
    : loop_(loop), settings_(settings),
      slot_(std::make_shared<internal::peer_slot>())
{
    loop.keep(slot_);
    slot_->settings = settings;
    slot_->create(loop, {}, 0);
    if (!slot_->vhost)
        throw context_error("peer connector could not be created");
}

peer_connector::~peer_connector()
{
    slot_->close();
}

peer_link_ptr peer_connector::connect(const std::string& address,
                                      std::uint16_t port, peer_events events)
{
    auto link = std::make_shared<peer_link>(loop_, settings_, std::move(events),
                                            address);
    // Deferred: the library reports some failures before it returns.
    loop_.post([this, link, port, slot = slot_] {
        if (slot->loop && !link->closed_)
            open(link, port);
    });
    return link;
}

void peer_connector::open(const peer_link_ptr& link, std::uint16_t port)
{
    lws* wsi = nullptr;
    lws_client_connect_info info{};
    info.context = loop_.native();
    info.vhost = slot_->vhost;
    info.address = link->remote_.c_str();
    info.host = link->remote_.c_str();
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
    link->on_gone();
    link->wsi_ = nullptr;
    link->self_.reset();
}

} // namespace lovagegate::net
