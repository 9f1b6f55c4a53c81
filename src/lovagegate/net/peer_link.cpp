#include "lovagegate/net/peer_link.hpp"

#include <cstring>
#include <libwebsockets.h>
#include <utility>
#include <vector>

namespace lovagegate::net {

peer_link::peer_link(event_loop& loop, const peer_settings& settings,
                     peer_events events, std::string remote_address)
    : loop_(loop), settings_(settings), events_(std::move(events)),
      remote_address_(std::move(remote_address))
{
}

peer_link::~peer_link()
{
    loop_.cancel(timer_);
}

send_result peer_link::send(std::string message)
{
    if (closed_)
        return send_result::closed;
    if (message.size() > settings_.max_message_bytes)
        return send_result::too_large;
    if (queued_bytes_ + message.size() > settings_.max_queued_bytes)
        return send_result::queue_full;
    queued_bytes_ += message.size();
    queue_.push_back(std::move(message));
    if (open_)
        lws_callback_on_writable(wsi_);
    return send_result::queued;
}

void peer_link::close()
{
    if (closed_)
        return;
    closed_ = true;
    open_ = false;
    loop_.cancel(timer_);
    if (wsi_)
        lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT,
                        LWS_TO_KILL_ASYNC);
}

void peer_link::start(::lws* wsi)
{
    wsi_ = wsi;
    if (open_ || closed_)
        return;
    timer_ = loop_.call_later(settings_.connect_timeout, [this] {
        const auto guard = shared_from_this();
        if (!open_)
            on_disconnected();
        if (!open_ && wsi_)
            lws_set_timeout(wsi_, PENDING_TIMEOUT_KILLED_BY_PARENT,
                            LWS_TO_KILL_ASYNC);
    });
}

void peer_link::on_established(::lws* wsi)
{
    wsi_ = wsi;
    loop_.cancel(timer_);
    if (closed_)
        return;
    open_ = true;
    lws_set_timeout(wsi_, NO_PENDING_TIMEOUT, 0);
    if (events_.on_open)
        events_.on_open(shared_from_this());
    if (open_ && !queue_.empty())
        lws_callback_on_writable(wsi_);
}

int peer_link::on_receive(std::string_view part, bool first, bool last)
{
    if (closed_)
        return -1;
    if (first)
        incoming_.clear();
    if (incoming_.size() + part.size() > settings_.max_message_bytes)
        return -1;
    incoming_.append(part);
    if (!last)
        return 0;
    std::string message;
    message.swap(incoming_);
    if (events_.on_message)
        events_.on_message(shared_from_this(), std::move(message));
    return closed_ ? -1 : 0;
}

int peer_link::on_writeable()
{
    if (closed_)
        return -1;
    if (queue_.empty())
        return 0;
    const std::string message = std::move(queue_.front());
    queue_.pop_front();
    queued_bytes_ -= message.size();
    std::vector<unsigned char> buffer(LWS_PRE + message.size());
    std::memcpy(buffer.data() + LWS_PRE, message.data(), message.size());
    if (lws_write(wsi_, buffer.data() + LWS_PRE, message.size(),
                  LWS_WRITE_BINARY) < 0)
        return -1;
    if (!queue_.empty())
        lws_callback_on_writable(wsi_);
    return 0;
}

void peer_link::on_disconnected()
{
    open_ = false;
    if (closed_)
        return;
    closed_ = true;
    loop_.cancel(timer_);
    if (events_.on_closed)
        events_.on_closed(shared_from_this());
}

} // namespace lovagegate::net
