#ifndef LOVAGEGATE_SERVE_PEER_TRANSPORT_HPP
#define LOVAGEGATE_SERVE_PEER_TRANSPORT_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/peer_connector.hpp"
#include "lovagegate/net/peer_listener.hpp"
#include "lovagegate/serve/core_input.hpp"
#include "lovagegate/settings/endpoint.hpp"
#include "lovagegate/wire/session.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace lovagegate::serve {

/// Sends the core's messages to other instances over authenticated links, one
/// for each peer, and closes idle links.
class peer_transport
{
public:
    /// @param loop outlives the transport
    /// @param self sent to peers in each hello
    /// @param key shared by all instances
    /// @param listen address that peers connect to; port 0: any free port
    /// @param count counters for dropped messages and refused sessions
    /// @throws net::bind_error if the address cannot be bound
    peer_transport(net::event_loop& loop, protocol::sender self,
                   wire::shared_key key, const settings::endpoint& listen,
                   core_input core, counters& count);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Replaces the peer addresses by those of the platform's list.
    void set_instances(std::span<const node::listed_instance> listed);

    /// Sends a message; drops and counts it if it cannot be sent.
    void send(const instance_id& to, const protocol::message& message);

    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return listener_->port();
    }

    /// @return bytes of all frames sent and received
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept
    {
        return bytes_sent_;
    }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept
    {
        return bytes_received_;
    }

private:
    struct link;
    using link_map = std::map<net::peer_link*, std::unique_ptr<link>>;

    [[nodiscard]] net::peer_events events();
    link* dial(const instance_id& to);
    link& add(const net::peer_link_ptr& socket, wire::end which);
    void on_open(const net::peer_link_ptr& socket);
    void on_message(const net::peer_link_ptr& socket, const std::string& frame);
    void on_closed(const net::peer_link_ptr& socket);
    void deliver(link& l, protocol::envelope envelope);
    [[nodiscard]] bool is_from_expected_peer(const link& l) const;
    void write(link& l, const protocol::message& message);
    void send_pending(link& l);
    /// @return the peers that messages were sent to over the link
    std::vector<instance_id> remove_send_links(net::peer_link* socket);
    void drop(net::peer_link* socket);
    void close_idle_links();

    net::event_loop& loop_;
    protocol::sender self_;
    wire::shared_key key_;
    core_input core_;
    counters& counters_;
    std::map<instance_id, settings::endpoint> addresses_;
    link_map links_;
    std::map<instance_id, net::peer_link*>
        send_links_; ///< link for sending to each peer
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    net::timer_id sweep_timer_ = 0;
    std::unique_ptr<net::peer_connector> connector_;
    std::unique_ptr<net::peer_listener> listener_;
};

} // namespace lovagegate::serve

#endif
