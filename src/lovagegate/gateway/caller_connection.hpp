#ifndef LOVAGEGATE_GATEWAY_CALLER_CONNECTION_HPP
#define LOVAGEGATE_GATEWAY_CALLER_CONNECTION_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/site_config.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_message.hpp"
#include "lovagegate/net/tcp_stream.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// One whole request of a caller.
struct caller_message
{
    net::message_head head;
    std::string body;
    time_point arrived{}; ///< of its last byte
};

/// Why a connection of a caller was closed.
enum class close_reason : std::uint8_t
{
    caller_left,   ///< by the caller, or the network broke it
    idle,          ///< no request came for too long
    stopping,      ///< the instance stops and takes nothing more
    last_answer,   ///< its last answer was announced as such
    cut,           ///< the answer could not be completed
    process_ended, ///< the process ends
};

/// @return the name used in counters and logs
[[nodiscard]] std::string_view to_string(close_reason c) noexcept;

/// What a connection leaves when it is closed.
struct connection_summary
{
    close_reason reason;
    std::string_view attempt_id; ///< of the last request
    bool answering = false;      ///< the request has no whole answer
    std::size_t partial_request_bytes =
        0;                        ///< bytes of a request that isn't whole
    std::size_t unsent_bytes = 0; ///< bytes of answers that were not sent
};

class caller_connection;
using caller_ptr = std::shared_ptr<caller_connection>;

/// What the connections of one server share.
struct caller_context
{
    net::event_loop& loop;
    /// Gets each whole request.
    std::function<void(const caller_ptr&, caller_message)> on_request;
    /// Bounds of the configuration in force.
    std::function<caller_limits()> limits;
    /// @return whether connections end after their answer
    std::function<bool()> is_stopping;
    /// A connection is done; it is destroyed from the loop.
    std::function<void(caller_connection&)> on_done;
    /// Told before on_done().
    std::function<void(const connection_summary&)> on_closed;
    /// A request was refused before it was whole.
    std::function<void(std::string_view reason)> on_bad_request;
};

/// One connection of a caller: reads one request after the other, and writes
/// each answer before it reads on.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection>,
      private net::stream_handler
{
public:
    /// @param fd accepted socket, taken over
    caller_connection(caller_context& context, int fd);

    /// Writes a whole answer of the gateway's own.
    void answer(int status, std::string_view reason,
                std::optional<duration> retry_after = std::nullopt);

    /// Begins a target's answer.
    /// @param head with the empty line
    /// @param chunked whether parts of the body are written as chunks
    /// @param close the connection ends after the answer
    void begin_answer(std::string_view head, bool chunked, bool close);
    void send_body(std::string_view part);
    void end_answer();

    /// Breaks the connection, so that the answer looks cut.
    void abort();

    /// Called at most once, when the caller leaves before its answer is
    /// complete.
    void set_disconnect_handler(std::function<void()> handler)
    {
        disconnect_handler_ = std::move(handler);
    }

    /// Called when all that was sent has left, for answers that had to wait.
    void set_drained_handler(std::function<void()> handler)
    {
        drained_handler_ = std::move(handler);
    }

    [[nodiscard]] std::size_t unsent() const noexcept
    {
        return stream_.unsent();
    }
    [[nodiscard]] bool is_busy() const noexcept { return busy_; }
    /// @return whether no part of a request was read and no answer is on its
    ///         way
    [[nodiscard]] bool is_idle() const noexcept;
    /// @return whether an answer is made but the caller may not have all of it
    [[nodiscard]] bool is_delivering() const noexcept
    {
        return !busy_ && (lingering_ || unsent() > 0);
    }

    /// Ends the connection if it exceeds a bound.
    void check_limits(time_point now);

    /// Closes an idle connection.
    void close(close_reason reason);

    /// Closes the connection in any state.
    void close_at_exit();

    [[nodiscard]] std::string peer() const { return stream_.peer_address(); }

private:
    bool on_data(std::string_view data) override;
    void on_end(net::stream_end how) override;
    void on_drained() override;
    bool read_requests();
    void on_head(const net::message_head& head);
    void dispatch();
    void refuse(int status, std::string_view reason);
    void finish_answer();
    void end_connection(close_reason reason);
    /// @return whether bytes of answers are still to be sent; ends the
    ///         connection if the caller doesn't take them
    bool is_sending(time_point now, duration limit);

    caller_context& context_;
    net::message_reader reader_;
    net::tcp_stream stream_;
    std::string unread_; ///< bytes that wait for the end of an answer
    std::string body_;
    std::string attempt_id_;
    std::function<void()> disconnect_handler_;
    std::function<void()> drained_handler_;
    time_point state_since_{}; ///< begin of the present state, or last progress
    std::size_t last_unsent_ = 0; ///< when it was last looked at
    std::size_t body_limit_ = 0;
    bool busy_ = false; ///< a request is being answered
    bool chunked_ = false;
    bool close_after_ = false;
    bool lingering_ = false; ///< the answer is sent; waits for the peer's end
    bool too_large_ = false;
    bool done_ = false;
    bool parsing_ = false;
};

} // namespace lovagegate::gateway

#endif
