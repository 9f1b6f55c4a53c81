#ifndef LOVAGEGATE_NET_HTTP_CLIENT_HPP
#define LOVAGEGATE_NET_HTTP_CLIENT_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_call.hpp"

#include <memory>

struct lws_vhost;

namespace lovagegate::net {

namespace internal {
struct client_callbacks;
}

/// Sends HTTP/1.1 requests, each on its own connection. Does not follow
/// redirects and never retries a request.
class http_client
{
public:
    /// @param loop must outlive the client
    /// @throws context_error if the libwebsockets vhost cannot be created
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call. Callbacks run later, never within send().
    /// @param request request to send, with its timeouts
    /// @param events callbacks of the call
    /// @return the call, which continues even if the pointer is dropped
    /// @throws header_error if a header contains a forbidden character
    http_call_ptr send(client_request request, call_events events);

private:
    void connect(const http_call_ptr& call);

    event_loop& loop_;
    std::shared_ptr<internal::client_callbacks> callbacks_;
    lws_vhost* vhost_;
};

} // namespace lovagegate::net

#endif
