#ifndef LOVAGEGATE_TESTS_NET_MANUAL_SERVER_HPP
#define LOVAGEGATE_TESTS_NET_MANUAL_SERVER_HPP

#include "raw_server.hpp"

#include <memory>

namespace lovagegate::net::test {

/// Serves one connection at a time from the test's own thread, so that a test
/// decides what has arrived before its event loop runs. Nothing blocks.
class manual_server
{
public:
    manual_server()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        auto address = loopback(0);
        socklen_t size = sizeof address;
        ::bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), size);
        ::listen(listener_.get(), 4);
        ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address),
                      &size);
        port_ = ntohs(address.sin_port);
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// Answers a request if its head has arrived.
    /// @return whether it was answered
    bool answers_one(std::string_view answer)
    {
        if (!peer_) {
            const int fd = ::accept(listener_.get(), nullptr, nullptr);
            if (fd < 0)
                return false;
            peer_ = std::make_unique<descriptor>(fd);
        }
        char buffer[1024];
        const auto n =
            ::recv(peer_->get(), buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0)
            received_.append(buffer, static_cast<std::size_t>(n));
        if (received_.find("\r\n\r\n") == std::string::npos)
            return false;
        received_.clear();
        ::send(peer_->get(), answer.data(), answer.size(), MSG_NOSIGNAL);
        return true;
    }

    void close_connection() { peer_.reset(); }

    void reset_connection()
    {
        const linger reset_linger{1, 0};
        ::setsockopt(peer_->get(), SOL_SOCKET, SO_LINGER, &reset_linger,
                     sizeof reset_linger);
        peer_.reset();
    }

private:
    descriptor listener_;
    std::unique_ptr<descriptor> peer_;
    std::string received_;
    std::uint16_t port_ = 0;
};

} // namespace lovagegate::net::test

#endif
