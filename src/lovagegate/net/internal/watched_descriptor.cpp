#include "lovagegate/net/internal/watched_descriptor.hpp"

#include "lovagegate/net/errors.hpp"

#include <array>
#include <libwebsockets.h>
#include <memory>
#include <unistd.h>

namespace lovagegate::net::internal {

/// Shared by libwebsockets, which refers to it until the descriptor is closed,
/// and the watched_descriptor, which may be destroyed earlier.
struct watched_descriptor::registration
{
    descriptor_handler* handler = nullptr;
    event_loop* loop = nullptr;
    ::lws* wsi = nullptr;
    int fd = -1;
    bool in_callback = false;
    bool in_on_writable = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    /// request_writable() was called within on_writable().
    bool writable_requested_again = false;

    static int on_event(::lws* wsi, lws_callback_reasons reason, void*, void*,
                        std::size_t);
    int dispatch(lws_callback_reasons reason);
    void repeat_writable_request();
    void closed();
};

int watched_descriptor::registration::dispatch(lws_callback_reasons reason)
{
    if (handler == nullptr)
        return -1;
    in_callback = true;
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        handler->on_readable();
    } else {
        in_on_writable = true;
        handler->on_writable();
        in_on_writable = false;
    }
    in_callback = false;
    if (handler == nullptr)
        return -1;
    if (writable_requested_again)
        repeat_writable_request();
    return 0;
}

/// libwebsockets drops a request for a writable callback that is made within
/// that callback, so it is repeated from a timer.
void watched_descriptor::registration::repeat_writable_request()
{
    writable_requested_again = false;
    loop->call_later(duration::zero(), [weak = std::weak_ptr(alive), this] {
        if (weak.lock() && wsi != nullptr)
            lws_callback_on_writable(wsi);
    });
}

void watched_descriptor::registration::closed()
{
    wsi = nullptr;
    fd = -1;
    if (handler == nullptr) {
        delete this;
        return;
    }
    handler->on_hang_up();
}

int watched_descriptor::registration::on_event(::lws* wsi,
                                               lws_callback_reasons reason,
                                               void*, void*, std::size_t)
{
    auto* const r =
        wsi ? static_cast<registration*>(lws_get_opaque_user_data(wsi))
            : nullptr;
    if (r == nullptr)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        return r->dispatch(reason);
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        lws_set_opaque_user_data(wsi, nullptr);
        r->closed();
        return 0;
    default:
        return 0;
    }
}

namespace {

constexpr const char* protocol_name = "descriptors";

lws_vhost* descriptor_vhost(lws_context* context, lws_callback_function* fn)
{
    if (lws_vhost* const existing =
            lws_get_vhost_by_name(context, protocol_name))
        return existing;
    // libwebsockets retains the pointer and requires a terminating entry.
    static std::array<lws_protocols, 2> protocols{
        {{protocol_name, nullptr, 0, 0, 0, nullptr, 0},
         {nullptr, nullptr, 0, 0, 0, nullptr, 0}}};
    protocols[0].callback = fn;
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = protocol_name;
    info.protocols = protocols.data();
    return lws_create_vhost(context, &info);
}

} // namespace

watched_descriptor::watched_descriptor(event_loop& loop, int fd,
                                       descriptor_handler& handler)
    : registration_(new registration)
{
    registration_->handler = &handler;
    registration_->loop = &loop;
    registration_->fd = fd;
    lws_vhost* const vhost =
        descriptor_vhost(loop.native(), registration::on_event);
    lws_sock_file_fd_type file{};
    file.filefd = fd;
    ::lws* const wsi =
        vhost ? lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, file,
                                           protocol_name, nullptr)
              : nullptr;
    if (wsi == nullptr) {
        delete registration_;
        ::close(fd);
        throw context_error("libwebsockets did not adopt the descriptor");
    }
    lws_set_opaque_user_data(wsi, registration_);
    registration_->wsi = wsi;
}

watched_descriptor::~watched_descriptor()
{
    registration* const r = registration_;
    r->handler = nullptr;
    if (r->wsi == nullptr)
        delete r;
    else if (!r->in_callback)
        lws_set_timeout(r->wsi, PENDING_TIMEOUT_KILLED_BY_PARENT,
                        LWS_TO_KILL_ASYNC);
}

int watched_descriptor::fd() const noexcept
{
    return registration_->fd;
}

void watched_descriptor::request_writable()
{
    if (registration_->wsi == nullptr)
        return;
    registration_->writable_requested_again = registration_->in_on_writable;
    lws_callback_on_writable(registration_->wsi);
}

void watched_descriptor::watch_readable(bool on)
{
    if (registration_->wsi)
        lws_rx_flow_control(registration_->wsi, on ? 1 : 0);
}

} // namespace lovagegate::net::internal
