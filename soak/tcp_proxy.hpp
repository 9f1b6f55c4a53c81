#ifndef LOVAGEGATE_SOAK_TCP_PROXY_HPP
#define LOVAGEGATE_SOAK_TCP_PROXY_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/tcp_stream.hpp"

#include <list>
#include <memory>

namespace lovagegate::soak {

/// What a link does to the bytes of both directions.
struct link_state
{
    bool way_in_open = true;  ///< from callers to the server
    bool way_out_open = true; ///< from the server to callers
    duration delay{};         ///< of each part, both ways
};

/// Passes connections on to one server, and harms them as it is told. Bytes
/// that are held back are passed on later, unless a connection is reset.
class tcp_proxy
{
public:
    /// @param to the server; may change for later connections
    tcp_proxy(net::event_loop& loop, const settings::endpoint& to);
    ~tcp_proxy();
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    /// @return the port on 127.0.0.1
    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

    void lead_to(const settings::endpoint& to) { to_ = to; }

    /// Changes what happens to bytes from now on.
    void set(const link_state& state);

    /// While it refuses, connections are reset at once.
    void set_refusing(bool refusing) { refusing_ = refusing; }

    /// Resets all open connections.
    void reset_all();

    /// The open connections carry nothing any more; later ones do.
    void stick_all();

private:
    class connection;
    void accept(int fd);
    void drop(connection& c);

    net::event_loop& loop_;
    settings::endpoint to_;
    link_state state_;
    bool refusing_ = false;
    std::list<std::unique_ptr<connection>> connections_;
    std::list<std::unique_ptr<connection>> dropped_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::tcp_listener listener_;
};

} // namespace lovagegate::soak

#endif
