#ifndef LOVAGEGATE_NET_PEER_LINK_HPP
#define LOVAGEGATE_NET_PEER_LINK_HPP

#include "lovagegate/net/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace lovagegate::net {

namespace internal {
struct peer_callbacks;
}

/// Limits of the links of one listener or connector.
struct peer_settings
{
    std::size_t max_message_bytes = std::size_t{1200} * 1024;
    std::size_t max_queued_bytes = std::size_t{8} << 20U;
    std::size_t max_links = 1024; ///< accepted by one listener
    duration connect_timeout = 2s;
};

/// Result of peer_link::send().
enum class send_result : std::uint8_t
{
    queued,
    queue_full, ///< the queue would exceed max_queued_bytes
    too_large,  ///< the message exceeds max_message_bytes
    closed,     ///< the link is closed
};

class peer_link;
using peer_link_ptr = std::shared_ptr<peer_link>;

/// Callbacks of links. Each function may be empty. If a connector's link never
/// opens, only on_closed is called.
struct peer_events
{
    std::function<void(const peer_link_ptr&)> on_open;
    std::function<void(const peer_link_ptr&, std::string message)> on_message;
    std::function<void(const peer_link_ptr&)> on_closed;
};

/// One WebSocket connection between two instances. Delivers complete messages
/// in order while it is open.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(event_loop& loop, const peer_settings& settings,
              peer_events events, std::string remote_address);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues a message. May be called before the link is open.
    send_result send(std::string message);

    /// Closes the link; on_closed is not called.
    void close();

    /// @return bytes of messages not yet passed to libwebsockets
    [[nodiscard]] std::size_t queued_bytes() const noexcept
    {
        return queued_bytes_;
    }

    /// @return whether the WebSocket handshake is complete and the link not
    /// closed
    [[nodiscard]] bool is_open() const noexcept { return open_; }

    /// @return IP address of the peer
    [[nodiscard]] const std::string& remote_address() const noexcept
    {
        return remote_address_;
    }

private:
    friend struct internal::peer_callbacks;
    friend class peer_listener;
    friend class peer_connector;

    void start(::lws* wsi);
    void on_established(::lws* wsi);
    int on_receive(std::string_view part, bool first, bool last);
    int on_writeable();
    void on_disconnected();

    event_loop& loop_;
    peer_settings settings_;
    peer_events events_;
    std::string remote_address_;
    peer_link_ptr self_; ///< while libwebsockets uses it
    ::lws* wsi_ = nullptr;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    std::string incoming_;
    timer_id timer_ = 0;
    bool open_ = false;
    bool closed_ = false;
};

} // namespace lovagegate::net

#endif
