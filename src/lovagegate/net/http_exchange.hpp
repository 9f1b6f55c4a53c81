#ifndef LOVAGEGATE_NET_HTTP_EXCHANGE_HPP
#define LOVAGEGATE_NET_HTTP_EXCHANGE_HPP

#include "lovagegate/net/http_types.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lovagegate::net {

namespace internal {
class server_connection;
}

/// One request received by an http_server, and its response. Remains valid
/// while a pointer to it exists; after the caller disconnected, the response is
/// discarded.
class exchange
{
public:
    using callback = std::function<void()>;

    exchange(internal::server_connection& connection, http_request request);

    /// @return the request
    [[nodiscard]] const http_request& request() const noexcept
    {
        return request_;
    }

    /// Sends a complete response; adds Content-Length.
    /// @throws header_error if a header is not well formed
    void respond(int status, const header_list& headers, std::string_view body);

    /// Starts a response of unknown length, with chunked transfer coding, or
    /// delimited by closing the connection for HTTP/1.0 callers.
    /// @throws header_error if a header is not well formed
    void start(int status, const header_list& headers);

    /// Appends to the body of the response started by start().
    void write(std::string_view data);

    /// Completes the response started by start().
    void finish();

    /// Closes the connection without sending buffered bytes.
    void abort();

    /// Sends the buffered bytes and closes the connection without the last
    /// chunk, so that the caller can detect that the response is incomplete.
    void close_unfinished();

    /// @return whether the caller is connected and the response is incomplete
    [[nodiscard]] bool is_open() const noexcept
    {
        return connection_ != nullptr && state_ != state::finished;
    }

    /// @return whether the response head was passed to the connection
    [[nodiscard]] bool is_started() const noexcept
    {
        return state_ != state::waiting;
    }

    /// @return bytes of the response not yet passed to libwebsockets
    [[nodiscard]] std::size_t buffered() const noexcept;

    /// @param fn called each time buffered() drops to zero
    void on_drained(callback fn) { on_drained_ = std::move(fn); }

    /// @param fn called once, if the connection closes before the complete
    /// response was passed to libwebsockets
    void on_closed(callback fn) { on_closed_ = std::move(fn); }

private:
    friend class internal::server_connection;
    enum class state
    {
        waiting,
        streaming,
        finished,
    };

    internal::server_connection* connection_;
    http_request request_;
    state state_ = state::waiting;
    bool chunked_ = true;
    callback on_drained_;
    callback on_closed_;
};

using exchange_ptr = std::shared_ptr<exchange>;

} // namespace lovagegate::net

#endif
