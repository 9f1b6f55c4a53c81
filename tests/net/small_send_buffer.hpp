#ifndef LOVAGEGATE_TESTS_NET_SMALL_SEND_BUFFER_HPP
#define LOVAGEGATE_TESTS_NET_SMALL_SEND_BUFFER_HPP

#include "tests/net/raw_server.hpp"

#include <cstdint>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagegate::net::test {

/// Sets the size of the send buffer of the sockets that this process accepts
/// on a port from now on; they inherit it from the listening socket.
/// @param port a port on which this process listens
/// @param bytes size in bytes; Linux doubles it
/// @return whether a listening socket was found and changed
inline bool limit_send_buffer(std::uint16_t port, int bytes)
{
    bool found = false;
    const int end = ::getdtablesize();
    for (int fd = 0; fd < end; ++fd) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        int listens = 0;
        socklen_t flag_size = sizeof listens;
        if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) !=
                0 ||
            address.sin_family != AF_INET || ntohs(address.sin_port) != port ||
            ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &flag_size) !=
                0 ||
            listens == 0)
            continue;
        found = ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes) ==
                    0 ||
                found;
    }
    return found;
}

} // namespace lovagegate::net::test

#endif
