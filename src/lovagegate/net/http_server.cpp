#include "lovagegate/net/http_server.hpp"

#include "lovagegate/net/errors.hpp"
#include "lovagegate/net/internal/server_connection.hpp"
#include "lovagegate/net/internal/server_slot.hpp"

#include <algorithm>
#include <poll.h>
#include <utility>

namespace lovagegate::net {

namespace {

const lws_protocols server_protocols[] = {
    {"http", internal::server_slot::callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

lws_vhost* make_vhost(event_loop& loop, const http_server_settings& settings,
                      internal::server_slot* slot)
{
    lws_context_creation_info info{};
    info.port = settings.port;
    info.iface = settings.address.c_str();
    info.protocols = server_protocols;
    info.user = slot;
    info.vhost_name = settings.address.c_str();
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.keepalive_timeout = static_cast<int>(settings.idle_timeout / 1s) + 1;
    return lws_create_vhost(loop.native(), &info);
}

/// @return whether the sender has closed its side
bool has_left(lws* wsi)
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
      slot_(std::make_shared<internal::server_slot>())
{
    slot_->server = this;
    loop_.keep(slot_);
    slot_->vhost = make_vhost(loop_, settings_, slot_.get());
    if (!slot_->vhost)
        throw bind_error("cannot bind " + settings_.address + ':' +
                         std::to_string(settings_.port));
    port_ = static_cast<std::uint16_t>(lws_get_vhost_listen_port(slot_->vhost));
    schedule_check();
}

http_server::~http_server()
{
    loop_.cancel(check_timer_);
    for (auto* connection : std::set(connections_)) {
        lws_set_opaque_user_data(connection->native(), nullptr);
        delete connection;
    }
    // The library closes the listening socket only with the context; until
    // then its connections are closed as they come.
    slot_->server = nullptr;
    lws_vhost_destroy(slot_->vhost);
}

bool http_server::accepts() noexcept
{
    if (connections_.size() < settings_.max_connections)
        return true;
    ++counts_.refused_connections;
    return false;
}

std::size_t http_server::answering() const noexcept
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto* connection) {
            return connection->is_answering();
        }));
}

void http_server::schedule_check()
{
    check_timer_ =
        loop_.call_later(settings_.gone_poll, [this] { check_callers(); });
}

void http_server::check_callers()
{
    // The library does not report a caller who leaves while its answer is
    // prepared, so that the work for it would go on to its end.
    for (auto* connection : connections_)
        if (connection->is_answering() && has_left(connection->native()))
            connection->kill();
    schedule_check();
}

} // namespace lovagegate::net
