#include "lovagegate/net/http_server.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/server_callbacks.hpp"
#include "lovagegate/net/internal/server_connection.hpp"

#include <algorithm>
#include <poll.h>
#include <utility>

namespace lovagegate::net {

namespace {

const lws_protocols server_protocols[] = {
    {"http", internal::server_callbacks::callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

lws_vhost* make_vhost(event_loop& loop, const http_server_settings& settings,
                      internal::server_callbacks* callbacks)
{
    lws_context_creation_info info{};
    info.port = settings.port;
    info.iface = settings.address.c_str();
    info.protocols = server_protocols;
    info.user = callbacks;
    info.vhost_name = settings.address.c_str();
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.keepalive_timeout = static_cast<int>(settings.idle_timeout / 1s) + 1;
    return lws_create_vhost(loop.native(), &info);
}

/// @return whether the caller has closed its side of the connection
bool is_peer_closed(lws* wsi)
{
    pollfd fd{lws_get_socket_fd(wsi), POLLRDHUP, 0};
    return ::poll(&fd, 1, 0) == 1 &&
           (fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

http_server::http_server(event_loop& loop, http_server_settings settings,
                         request_handler on_request, refusal_handler on_refusal)
    : loop_(loop), settings_(std::move(settings)),
      on_request_(std::move(on_request)), on_refusal_(std::move(on_refusal)),
      callbacks_(std::make_shared<internal::server_callbacks>())
{
    callbacks_->server = this;
    loop_.retain(callbacks_);
    callbacks_->vhost = make_vhost(loop_, settings_, callbacks_.get());
    if (!callbacks_->vhost)
        throw bind_error("cannot bind " + settings_.address + ':' +
                         std::to_string(settings_.port));
    port_ = static_cast<std::uint16_t>(
        lws_get_vhost_listen_port(callbacks_->vhost));
    schedule_disconnect_check();
}

http_server::~http_server()
{
    loop_.cancel(disconnect_timer_);
    for (auto* connection : std::set(connections_)) {
        lws_set_opaque_user_data(connection->native(), nullptr);
        delete connection;
    }
    // libwebsockets closes the listening socket only when the context is
    // destroyed. Until then, new connections are closed on arrival.
    callbacks_->server = nullptr;
    lws_vhost_destroy(callbacks_->vhost);
}

bool http_server::admit_connection() noexcept
{
    if (connections_.size() < settings_.max_connections)
        return true;
    // libwebsockets closes connections later, so a few more are open then.
    const std::size_t most =
        settings_.max_connections + settings_.max_connections / 4;
    if (settings_.closes_waiting_for_new && connections_.size() < most &&
        close_longest_waiting())
        return true;
    ++counts_.refused_connections;
    return false;
}

bool http_server::close_longest_waiting() noexcept
{
    internal::server_connection* longest = nullptr;
    for (auto* const c : connections_)
        if (c->may_be_closed() &&
            (longest == nullptr || c->waits_since() < longest->waits_since()))
            longest = c;
    if (longest == nullptr)
        return false;
    ++counts_.closed_for_new;
    longest->abort();
    return true;
}

bool http_server::make_room(const internal::server_connection& c,
                            std::size_t bytes)
{
    while (held_bytes_ - c.charged() + bytes > settings_.max_held_bytes) {
        const time_point before =
            event_loop::now().mono - settings_.stalled_body_time;
        internal::server_connection* longest = nullptr;
        for (auto* const other : connections_)
            if (other != &c && other->charged() > 0 &&
                other->is_receiving_body() && other->body_at() < before &&
                (longest == nullptr || other->body_at() < longest->body_at()))
                longest = other;
        if (longest == nullptr)
            return false;
        longest->refuse(bad_request::too_much_held);
    }
    return true;
}

std::size_t http_server::pending_answers() const noexcept
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto* connection) {
            return connection->is_answering();
        }));
}

void http_server::schedule_disconnect_check()
{
    disconnect_timer_ = loop_.call_later(settings_.disconnect_poll_interval,
                                         [this] { close_disconnected(); });
}

void http_server::close_disconnected()
{
    // libwebsockets does not report that a caller disconnected while its
    // response is prepared. Without this check, the work for the request would
    // run to its end.
    for (auto* connection : connections_)
        if (connection->is_answering() && is_peer_closed(connection->native()))
            connection->abort();
    schedule_disconnect_check();
}

} // namespace lovagegate::net
