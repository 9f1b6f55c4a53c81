#ifndef LOVAGEGATE_NET_INTERNAL_SERVER_CONNECTION_HPP
#define LOVAGEGATE_NET_INTERNAL_SERVER_CONNECTION_HPP

#include "lovagegate/net/http_server.hpp"

#include <libwebsockets.h>
#include <string>
#include <string_view>

namespace lovagegate::net::internal {

/// One accepted connection: reads requests one after another and writes their
/// responses. Owned by the libwebsockets connection through its opaque user
/// data.
class server_connection
{
public:
    server_connection(http_server& server, lws* wsi);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Event handlers; each returns nonzero to close the connection.
    int on_head();
    int on_body(std::string_view part);
    int on_body_end();
    int on_writeable();
    int on_timer();

    /// Answers a request that isn't complete and closes the connection.
    int refuse(bad_request reason);

    /// Notifies the exchange that the caller disconnected.
    void on_disconnected();

    void append(std::string_view data);
    void end_answer();
    void close_after_answer() noexcept { close_after_answer_ = true; }
    void abort() noexcept;
    [[nodiscard]] std::string format_head(int status,
                                          const header_list& headers) const;
    [[nodiscard]] std::size_t buffered() const noexcept
    {
        return write_buffer_.size() - sent_bytes_;
    }
    [[nodiscard]] bool supports_chunked() const;

    /// @return whether a request is waiting for the end of its response; the
    ///         response ends when the socket has accepted all of it
    [[nodiscard]] bool is_answering() const noexcept
    {
        return exchange_ != nullptr;
    }
    /// @return whether nothing but the caller is waited for
    [[nodiscard]] bool may_be_closed() const noexcept
    {
        return !aborted_ && (!is_answering() || answer_complete_);
    }
    /// @return number that rises with the time since when it waits
    [[nodiscard]] std::uint64_t waits_since() const noexcept
    {
        return waits_since_;
    }
    /// @return bytes that count towards max_held_bytes
    [[nodiscard]] std::size_t charged() const noexcept { return charged_; }
    [[nodiscard]] bool is_receiving_body() const noexcept
    {
        return receiving_request_ && !is_answering();
    }
    /// @return when the last bytes of the body arrived
    [[nodiscard]] time_point body_at() const noexcept { return body_at_; }
    [[nodiscard]] lws* native() const noexcept { return wsi_; }

private:
    void read_head();
    int dispatch();
    void charge(std::size_t bytes) noexcept;
    int write_buffered();
    /// @return whether this object or libwebsockets holds bytes that the socket
    ///         has not accepted
    [[nodiscard]] bool has_unsent_bytes() const noexcept;
    int end_transaction();
    void set_timer(duration d) noexcept;
    void clear_timer() noexcept;

    http_server& server_;
    lws* wsi_;
    http_request request_;
    exchange_ptr exchange_;
    std::string write_buffer_;
    std::size_t sent_bytes_ = 0;
    std::size_t charged_ = 0;
    std::size_t declared_bytes_ = 0; ///< by Content-Length
    time_point body_at_{};
    std::uint64_t waits_since_ = 0;
    bool aborted_ = false;
    bool receiving_request_ = false; ///< waiting for a complete request
    bool answer_complete_ = false;   ///< the whole response is buffered
    bool request_refused_ = false;
    bool close_after_answer_ = false;
};

} // namespace lovagegate::net::internal

#endif
