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

/// Sends HTTP/1.1 requests, each on a connection of its own. It follows no
/// redirects and never sends a request twice.
class http_client
{
public:
    /// @param loop outlives the client
    /// @throws context_error if the library refuses
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call. Events come later, never from within send().
    /// @param request what to send, and its timeouts
    /// @param events what to do as it goes on
    /// @return the call; it goes on even if nobody holds it
    /// @throws header_error if a header is not well formed
    http_call_ptr send(client_request request, call_events events);

private:
    void connect(const http_call_ptr& call);

    event_loop& loop_;
    std::shared_ptr<internal::client_callbacks> callbacks_;
    lws_vhost* vhost_;
};

} // namespace lovagegate::net

#endif
