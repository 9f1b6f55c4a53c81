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
    end_of_data,    ///< the peer closed in order
    reset,          ///< the peer or the network broke it
    connect_failed, ///< it was never established: nothing was sent
};

/// Gets what happens to one connection.
class stream_handler
{
public:
    virtual void on_connected() {}
    /// @return false if the stream was destroyed meanwhile
    virtual bool on_data(std::string_view data) = 0;
    /// Nothing follows.
    virtual void on_end(stream_end how) = 0;
    /// All that was written has left the process.
    virtual void on_drained() {}

protected:
    ~stream_handler() = default;
};

/// One TCP connection. Writing never blocks; what the socket doesn't take is
/// kept and counted.
class tcp_stream : private internal::descriptor_handler
{
public:
    /// Serves an accepted connection.
    /// @param fd a connected socket, taken over
    tcp_stream(event_loop& loop, int fd, stream_handler& handler);

    /// Starts to connect. Events come later.
    /// @param acknowledgement_timeout after this time without acknowledgement
    /// of sent
    ///        bytes the connection counts as broken
    /// @throws context_error if no socket can be had
    tcp_stream(event_loop& loop, const settings::endpoint& to,
               duration acknowledgement_timeout, stream_handler& handler);
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void write(std::string_view data);

    /// @return bytes that the socket has not taken yet
    [[nodiscard]] std::size_t unsent() const noexcept
    {
        return write_buffer_.size() - sent_bytes_;
    }

    [[nodiscard]] bool is_connected() const noexcept { return connected_; }

    /// @return whether nothing listens at the peer's address
    [[nodiscard]] bool is_refused() const noexcept { return refused_; }

    /// Sends the end of data; reading goes on.
    void end_writing();

    /// Drops what is unsent; from now on nothing is sent, also if connecting
    /// succeeds, and no event follows.
    void give_up() noexcept;

    /// Makes the destruction reset the connection.
    void abort_on_close() noexcept;

    /// Starts or stops on_data(), to slow the peer down.
    void enable_reading(bool on);

    /// @return IP address of the peer, as a number
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

/// Accepts TCP connections.
class tcp_listener : private internal::descriptor_handler
{
public:
    using accept_handler = std::function<void(int fd)>;

    /// @param on_accept takes over each accepted socket
    /// @throws bind_error if the address cannot be bound
    tcp_listener(event_loop& loop, const settings::endpoint& at,
                 accept_handler on_accept);

    /// @return the bound port
    [[nodiscard]] std::uint16_t port() const;

private:
    void on_readable() override;
    void on_writable() override {}
    void on_hang_up() override {}

    accept_handler on_accept_;
    std::unique_ptr<internal::watched_descriptor> watch_;
};

/// Sends and receives datagrams on one address.
class datagram_socket : private internal::descriptor_handler
{
public:
    using receive_handler =
        std::function<void(const settings::endpoint& from, std::string_view)>;

    /// @throws bind_error if the address cannot be bound
    datagram_socket(event_loop& loop, const settings::endpoint& at,
                    receive_handler on_receive);

    /// Sends one datagram; it may be lost.
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
