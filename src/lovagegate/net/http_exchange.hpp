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

/// One request received by an http_server, and its answer. Valid as long as
/// somebody holds it; after the caller left, answers to it are dropped.
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

    /// Sends a whole answer; Content-Length is added.
    /// @throws header_error if a header is not well formed
    void respond(int status, const header_list& headers, std::string_view body);

    /// Begins an answer of unknown length (chunked transfer coding).
    /// @throws header_error if a header is not well formed
    void start(int status, const header_list& headers);

    /// Adds to the answer begun by start().
    void write(std::string_view data);

    /// Ends the answer begun by start().
    void finish();

    /// Closes the connection at once.
    void abort();

    /// Sends what was written and closes the connection without the end of
    /// the answer, so that the caller can tell that it is not whole.
    void close_unfinished();

    /// @return whether the caller is there and the answer is not at its end
    [[nodiscard]] bool is_open() const noexcept
    {
        return connection_ != nullptr && state_ != state::finished;
    }

    /// @return whether the head of the answer was given to the connection
    [[nodiscard]] bool is_started() const noexcept
    {
        return state_ != state::waiting;
    }

    /// @return bytes of the answer not yet given to the library
    [[nodiscard]] std::size_t buffered() const noexcept;

    /// @param fn runs each time when buffered() falls to zero
    void on_drained(callback fn) { on_drained_ = std::move(fn); }

    /// @param fn runs once, when the connection closes before the whole
    ///        answer was given to the library
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
