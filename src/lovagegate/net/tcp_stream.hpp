#ifndef LOVAGEGATE_NET_TCP_STREAM_HPP
#define LOVAGEGATE_NET_TCP_STREAM_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/internal/watched_descriptor.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace lovagegate::net {

/// How a connection ended.
enum class stream_end : std::uint8_t
{
    end_of_data,    ///< the peer closed the connection cleanly
    reset,          ///< the peer or the network reset the connection
    connect_failed, ///< never established; no bytes were sent
};

/// Receives the events of one connection.
class stream_handler
{
public:
    virtual void on_connected() {}
    /// Called with received bytes.
    /// @return false if the handler destroyed
    /// the stream
    virtual bool on_data(std::string_view data) = 0;
    /// Called once, when the connection ends; no event follows.
    virtual void on_end(stream_end how) = 0;
    /// Called when all buffered bytes were passed to the socket.
    virtual void on_drained() {}

protected:
    ~stream_handler() = default;
};

/// One TCP connection. Writes never block; bytes that the socket does not
/// accept are buffered and counted by unsent().
class tcp_stream : private internal::descriptor_handler
{
public:
    /// Serves an accepted connection.
    /// @param fd a connected socket; the stream takes ownership
    tcp_stream(event_loop& loop, int fd, stream_handler& handler);

    /// Starts connecting. Handler functions are called later from the event
    /// loop.
    /// @param acknowledgement_timeout the connection is closed when sent bytes
    /// stay unacknowledged for this time
    /// @throws context_error if no socket can be created
    tcp_stream(event_loop& loop, const settings::endpoint& to,
               duration acknowledgement_timeout, stream_handler& handler);
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void write(std::string_view data);

    /// @return buffered bytes not yet passed to the socket
    [[nodiscard]] std::size_t unsent() const noexcept
    {
        return write_buffer_.size() - sent_bytes_;
    }

    [[nodiscard]] bool is_connected() const noexcept { return connected_; }

    /// @return whether connecting failed with ECONNREFUSED
    [[nodiscard]] bool is_refused() const noexcept { return refused_; }

    /// @return whether data, the peer's end of data or an error waits to be
    ///         read
    [[nodiscard]] bool has_unread_input() const noexcept;

    /// Shuts down the sending side once all buffered bytes are sent; reading
    /// continues.
    void end_writing();

    /// Discards unsent bytes. Nothing more is sent, even if a pending connect
    /// succeeds, and no event follows.
    void give_up() noexcept;

    /// Makes the destructor reset the connection (SO_LINGER with zero timeout).
    void abort_on_close() noexcept;

    /// Enables or disables reading; while it is disabled, TCP flow control
    /// slows the peer down.
    void enable_reading(bool on);

    /// @return IP address of the peer in dotted-decimal notation, empty if
    /// unknown
    [[nodiscard]] std::string peer_address() const;

private:
    void on_readable() override;
    void on_writable() override;
    void on_hang_up() override;
    bool flush();
    void end(stream_end how);

    stream_handler& handler_;
    std::unique_ptr<internal::watched_descriptor> watch_;
    std::string write_buffer_;
    std::size_t sent_bytes_ = 0;
    bool connected_ = false;
    bool refused_ = false;
    bool ended_ = false;
    bool shutdown_when_sent_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

public:
    ~tcp_stream();
};

/// @param fd a connected socket
/// @return IP address of the peer in dotted-decimal notation, empty if unknown
[[nodiscard]] std::string peer_address(int fd);

/// Accepts TCP connections. Pauses while the process or the system is out of
/// descriptors or memory: until then connections wait in the kernel's queue.
class tcp_listener : private internal::descriptor_handler
{
public:
    using accept_handler = std::function<void(int fd)>;

    /// @param on_accept receives each accepted socket and takes ownership of it
    /// @throws bind_error if the address cannot be bound
    tcp_listener(event_loop& loop, const settings::endpoint& at,
                 accept_handler on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// @return how often accepting was paused
    [[nodiscard]] std::uint64_t pauses() const noexcept { return pauses_; }

    /// @return the bound port
    [[nodiscard]] std::uint16_t port() const;

private:
    void on_readable() override;
    void on_writable() override {}
    void on_hang_up() override {}
    void pause();

    event_loop& loop_;
    accept_handler on_accept_;
    std::unique_ptr<internal::watched_descriptor> watch_;
    timer_id resume_timer_ = 0;
    std::uint64_t pauses_ = 0;
};

/// Sends and receives UDP datagrams on one address.
class datagram_socket : private internal::descriptor_handler
{
public:
    using receive_handler =
        std::function<void(const settings::endpoint& from, std::string_view)>;

    /// @throws bind_error if the address cannot be bound
    datagram_socket(event_loop& loop, const settings::endpoint& at,
                    receive_handler on_receive);

    /// Sends one datagram. Delivery is not guaranteed and errors are ignored.
    void send(const settings::endpoint& to, std::string_view data);

    [[nodiscard]] std::uint64_t bytes_sent() const noexcept
    {
        return bytes_sent_;
    }

private:
    void on_readable() override;
    void on_writable() override {}
    void on_hang_up() override {}

    receive_handler on_receive_;
    std::unique_ptr<internal::watched_descriptor> watch_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace lovagegate::net

#endif
