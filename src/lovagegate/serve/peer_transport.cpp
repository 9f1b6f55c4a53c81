#include "lovagegate/serve/peer_transport.hpp"

#include <utility>

namespace lovagegate::serve {
namespace {

/// Messages queued for a link that is being opened.
constexpr std::size_t max_pending_messages = 256;
/// A link that carries no message for this time is closed.
constexpr duration idle_timeout = 60s;
constexpr duration sweep_interval = 10s;

} // namespace

struct peer_transport::link
{
    net::peer_link_ptr socket;
    wire::session session;
    instance_id dialed_peer; ///< peer that was dialed; empty if accepted
    std::vector<protocol::message> pending; ///< until the session is open
    time_point last_used{};
};

peer_transport::peer_transport(net::event_loop& loop, protocol::sender self,
                               wire::shared_key key,
                               const settings::endpoint& listen,
                               core_input core, counters& count)
    : loop_(loop), self_(std::move(self)), key_(std::move(key)),
      core_(std::move(core)), counters_(count),
      connector_(
          std::make_unique<net::peer_connector>(loop, net::peer_settings{})),
      listener_(std::make_unique<net::peer_listener>(
          loop, listen.address, listen.port, net::peer_settings{}, events()))
{
    sweep_timer_ =
        loop_.call_later(sweep_interval, [this] { close_idle_links(); });
}

peer_transport::~peer_transport()
{
    loop_.cancel(sweep_timer_);
    for (auto& [socket, l] : links_)
        l->socket->close();
}

net::peer_events peer_transport::events()
{
    net::peer_events e;
    e.on_open = [this](const auto& socket) { on_open(socket); };
    e.on_message = [this](const auto& socket, const std::string& frame) {
        on_message(socket, frame);
    };
    e.on_closed = [this](const auto& socket) { on_closed(socket); };
    return e;
}

void peer_transport::set_instances(
    std::span<const node::listed_instance> listed)
{
    addresses_.clear();
    for (const node::listed_instance& i : listed)
        addresses_[i.id] = {i.address, i.peer_port};
}

void peer_transport::send(const instance_id& to,
                          const protocol::message& message)
{
    const auto it = send_links_.find(to);
    link* l = it == send_links_.end() ? dial(to) : links_.at(it->second).get();
    if (l == nullptr) {
        counters_.add("peer_messages_dropped", "reason", "no_address");
        return;
    }
    write(*l, message);
}

peer_transport::link* peer_transport::dial(const instance_id& to)
{
    const auto address = addresses_.find(to);
    if (address == addresses_.end())
        return nullptr;
    const net::peer_link_ptr socket = connector_->connect(
        address->second.address, address->second.port, events());
    link& l = add(socket, wire::end::dialer);
    l.dialed_peer = to;
    send_links_[to] = socket.get();
    return &l;
}

peer_transport::link& peer_transport::add(const net::peer_link_ptr& socket,
                                          wire::end which)
{
    auto l = std::make_unique<link>(
        link{socket,
             wire::session(which, self_, key_, wire::random_nonce()),
             {},
             {},
             net::event_loop::now().mono});
    return *links_.insert_or_assign(socket.get(), std::move(l)).first->second;
}

void peer_transport::on_open(const net::peer_link_ptr& socket)
{
    const auto it = links_.find(socket.get());
    link& l =
        it == links_.end() ? add(socket, wire::end::acceptor) : *it->second;
    bytes_sent_ += l.session.hello_frame().size();
    socket->send(l.session.hello_frame());
}

void peer_transport::on_message(const net::peer_link_ptr& socket,
                                const std::string& frame)
{
    const auto it = links_.find(socket.get());
    if (it == links_.end())
        return;
    link& l = *it->second;
    bytes_received_ += frame.size();
    l.last_used = net::event_loop::now().mono;
    try {
        wire::reception r = l.session.receive(frame);
        if (r.what == wire::received::skipped)
            counters_.add("peer_messages_skipped");
        else if (r.what == wire::received::message)
            deliver(l, std::move(*r.envelope));
        else if (is_from_expected_peer(l))
            send_pending(l);
        else
            drop(socket.get());
    } catch (const wire::session_error& e) {
        counters_.add("peer_sessions_refused", "reason",
                      to_string(e.failure()));
        drop(socket.get());
    }
}

bool peer_transport::is_from_expected_peer(const link& l) const
{
    // The address may have been reassigned to another instance.
    return l.dialed_peer.empty() || l.session.peer()->instance == l.dialed_peer;
}

void peer_transport::deliver(link& l, protocol::envelope envelope)
{
    // The first message authenticates the peer: from then on the link is used
    // in both directions.
    send_links_.try_emplace(envelope.from.instance, l.socket.get());
    core_(node::peer_message{std::move(envelope)});
}

void peer_transport::write(link& l, const protocol::message& message)
{
    if (!l.session.is_open()) {
        if (l.pending.size() < max_pending_messages)
            l.pending.push_back(message);
        else
            counters_.add("peer_messages_dropped", "reason", "not_open");
        return;
    }
    std::string frame = l.session.seal(message);
    const std::size_t size = frame.size();
    l.last_used = net::event_loop::now().mono;
    switch (l.socket->send(std::move(frame))) {
    case net::send_result::queued:
        bytes_sent_ += size;
        return;
    case net::send_result::queue_full:
        counters_.add("peer_messages_dropped", "reason", "queue_full");
        break;
    case net::send_result::too_large:
        counters_.add("peer_messages_dropped", "reason", "too_large");
        break;
    case net::send_result::closed:
        counters_.add("peer_messages_dropped", "reason", "closed");
        break;
    }
}

void peer_transport::send_pending(link& l)
{
    const std::vector<protocol::message> pending = std::move(l.pending);
    l.pending.clear();
    for (const protocol::message& m : pending)
        write(l, m);
}

void peer_transport::on_closed(const net::peer_link_ptr& socket)
{
    // The peer closes idle links too, so a closed idle link is not reported as
    // a lost peer.
    if (const auto it = links_.find(socket.get()); it != links_.end())
        if (net::event_loop::now().mono >
            it->second->last_used + idle_timeout / 2)
            remove_send_links(socket.get());
    drop(socket.get());
}

std::vector<instance_id>
peer_transport::remove_send_links(net::peer_link* socket)
{
    std::vector<instance_id> peers;
    std::erase_if(send_links_, [&](const auto& entry) {
        if (entry.second != socket)
            return false;
        peers.push_back(entry.first);
        return true;
    });
    return peers;
}

void peer_transport::drop(net::peer_link* socket)
{
    const auto it = links_.find(socket);
    if (it == links_.end())
        return;
    const std::unique_ptr<link> l = std::move(it->second);
    links_.erase(it);
    l->socket->close();
    for (const instance_id& peer : remove_send_links(socket))
        core_(node::peer_lost{peer});
}

void peer_transport::close_idle_links()
{
    const time_point now = net::event_loop::now().mono;
    std::vector<net::peer_link*> idle;
    for (const auto& [socket, l] : links_)
        if (now > l->last_used + idle_timeout)
            idle.push_back(socket);
    for (net::peer_link* socket : idle) {
        remove_send_links(socket);
        drop(socket);
    }
    sweep_timer_ =
        loop_.call_later(sweep_interval, [this] { close_idle_links(); });
}

} // namespace lovagegate::serve
