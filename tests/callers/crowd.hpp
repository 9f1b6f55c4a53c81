#ifndef LOVAGEGATE_TESTS_CALLERS_CROWD_HPP
#define LOVAGEGATE_TESTS_CALLERS_CROWD_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <functional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lovagegate::callers_test {

/// Bytes that a caller sends a number of times.
struct sent_part
{
    std::string bytes;
    std::size_t times = 1;
};

/// How each caller of a crowd behaves.
struct behaviour
{
    std::size_t callers = 0;
    std::vector<sent_part> sends; ///< after these it sends nothing more
    /// Most bytes passed to the socket at once.
    std::size_t piece_bytes = std::size_t{64} * 1024;
    std::chrono::milliseconds pause{0}; ///< between two pieces
};

inline int open_connection(const settings::endpoint& to, int flags)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &a.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 &&
        errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// @return status of the answer to the request, 0 if there was none
inline int status_of(const settings::endpoint& to, const std::string& request)
{
    const int fd = open_connection(to, 0);
    if (fd < 0)
        return 0;
    const timeval limit{5, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    for (std::size_t sent = 0; sent < request.size();) {
        const auto n = ::send(fd, request.data() + sent, request.size() - sent,
                              MSG_NOSIGNAL);
        if (n <= 0)
            break;
        sent += static_cast<std::size_t>(n);
    }
    std::array<char, 13> line{}; // "HTTP/1.1 200" and a terminator
    const auto n = ::recv(fd, line.data(), line.size() - 1, MSG_WAITALL);
    ::close(fd);
    constexpr std::size_t status_at = 9;
    constexpr std::size_t line_end = 12;
    int status = 0;
    if (n == line_end)
        std::from_chars(line.data() + status_at, line.data() + line_end,
                        status);
    return status;
}

/// Callers that never read an answer and stay connected as long as they can.
class crowd
{
public:
    crowd(const settings::endpoint& to, behaviour b) : behaviour_(std::move(b))
    {
        for (std::size_t i = 0; i < behaviour_.callers; ++i)
            callers_.push_back({open_connection(to, SOCK_NONBLOCK)});
    }
    ~crowd()
    {
        for (const auto& c : callers_)
            if (c.fd >= 0)
                ::close(c.fd);
    }
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends until all callers have sent everything, or for this long: callers
    /// whose bytes aren't taken wait. Then stays connected for a moment.
    void play(std::chrono::milliseconds longest,
              const std::function<void()>& on_round)
    {
        const auto end = std::chrono::steady_clock::now() + longest;
        while (std::chrono::steady_clock::now() < end && send_round()) {
            on_round();
            std::this_thread::sleep_for(behaviour_.pause);
        }
        std::this_thread::sleep_for(stay);
        on_round();
    }

private:
    /// In which the process reads what the sockets have taken.
    static constexpr std::chrono::milliseconds stay{300};

    struct one
    {
        int fd = -1;
        std::size_t part = 0;
        std::size_t time = 0;
        std::size_t offset = 0;
    };

    /// @return whether a caller has more to send
    bool send_round()
    {
        std::vector<pollfd> waiting;
        std::vector<one*> order;
        for (auto& c : callers_)
            if (c.fd >= 0 && c.part < behaviour_.sends.size()) {
                waiting.push_back({c.fd, POLLOUT, 0});
                order.push_back(&c);
            }
        if (waiting.empty())
            return false;
        ::poll(waiting.data(), waiting.size(), 50);
        for (std::size_t i = 0; i < waiting.size(); ++i)
            if (waiting[i].revents != 0)
                send_piece(*order[i]);
        return true;
    }

    void send_piece(one& c)
    {
        const sent_part& part = behaviour_.sends[c.part];
        const std::size_t n =
            std::min(behaviour_.piece_bytes, part.bytes.size() - c.offset);
        const auto done =
            ::send(c.fd, part.bytes.data() + c.offset, n, MSG_NOSIGNAL);
        if (done < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                ::close(c.fd);
                c.fd = -1;
            }
            return;
        }
        c.offset += static_cast<std::size_t>(done);
        if (c.offset < part.bytes.size())
            return;
        c.offset = 0;
        if (++c.time < part.times)
            return;
        c.time = 0;
        ++c.part;
    }

    behaviour behaviour_;
    std::vector<one> callers_;
};

} // namespace lovagegate::callers_test

#endif
