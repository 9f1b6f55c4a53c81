#ifndef LOVAGEGATE_TESTS_NET_RAW_SERVER_HPP
#define LOVAGEGATE_TESTS_NET_RAW_SERVER_HPP

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lovagegate::net::test {

/// Owns a file descriptor and closes it on destruction.
class descriptor
{
public:
    explicit descriptor(int fd) : fd_(fd) {}
    ~descriptor()
    {
        if (fd_ >= 0)
            ::close(fd_);
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    [[nodiscard]] int get() const { return fd_; }

private:
    int fd_;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @return a port that no socket listens on
inline std::uint16_t closed_port()
{
    const descriptor socket(::socket(AF_INET, SOCK_STREAM, 0));
    auto address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(socket.get(), reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// A TCP connection that sends the given bytes as they are, including malformed
/// requests.
class raw_client
{
public:
    /// @param port port of the server, on 127.0.0.1
    /// @param receive_buffer size in bytes; Linux doubles it; 0: the default
    explicit raw_client(std::uint16_t port, int receive_buffer = 0)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receive_buffer > 0)
            ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof receive_buffer);
        const auto address = loopback(port);
        ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address),
                  sizeof address);
    }

    void send(std::string_view text) const
    {
        ::send(socket_.get(), text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// @return bytes received so far; does not block
    std::string& received()
    {
        while (receive_part()) {
        }
        return received_;
    }

    /// Receives up to 4 KB; does not block.
    /// @return whether bytes were received
    bool receive_part()
    {
        char buffer[4096];
        const auto n =
            ::recv(socket_.get(), buffer, sizeof buffer, MSG_DONTWAIT);
        if (n <= 0) {
            closed_ =
                closed_ || n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return false;
        }
        received_.append(buffer, static_cast<std::size_t>(n));
        return true;
    }

    /// @return whether the peer has closed the connection
    bool is_closed()
    {
        received();
        return closed_;
    }

private:
    descriptor socket_;
    std::string received_;
    bool closed_ = false;
};

/// Accepts one connection, reads a request up to the end of its head, sends the
/// given bytes and closes the connection.
class raw_server
{
public:
    /// @param answer bytes to send; may be empty
    explicit raw_server(std::string answer)
        : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = loopback(0);
        socklen_t size = sizeof address;
        ::bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), size);
        ::listen(listener_.get(), 4);
        ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address),
                      &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this, text = std::move(answer)] {
            const descriptor peer(::accept(listener_.get(), nullptr, nullptr));
            std::string request;
            char buffer[1024];
            while (request.find("\r\n\r\n") == std::string::npos) {
                const auto n = ::recv(peer.get(), buffer, sizeof buffer, 0);
                if (n <= 0)
                    return;
                request.append(buffer, static_cast<std::size_t>(n));
            }
            ::send(peer.get(), text.data(), text.size(), MSG_NOSIGNAL);
        });
    }

    ~raw_server()
    {
        ::shutdown(listener_.get(), SHUT_RDWR);
        thread_.join();
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    descriptor listener_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace lovagegate::net::test

#endif
