#include "net.hpp"

#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lovagegate::review {

namespace {

constexpr int hex_base = 16;
constexpr int decimal_base = 10;

sockaddr_in to_sockaddr(const std::string& ip, std::uint16_t port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

int open_listener(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in a = to_sockaddr(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
        ::listen(fd, SOMAXCONN) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::uint16_t port_of(int fd)
{
    sockaddr_in a{};
    socklen_t size = sizeof a;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
}

std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

void parse_head(const std::string& head, message& m)
{
    auto end = head.find("\r\n");
    const std::string first = head.substr(0, end);
    const auto space = first.find(' ');
    const auto second = first.find(' ', space + 1);
    if (first.starts_with("HTTP/")) {
        m.status = static_cast<int>(
            std::strtol(first.c_str() + space + 1, nullptr, decimal_base));
    } else {
        m.method = first.substr(0, space);
        m.target = first.substr(space + 1, second - space - 1);
    }
    while (end != std::string::npos) {
        const auto from = end + 2;
        end = head.find("\r\n", from);
        const std::string line = head.substr(from, end - from);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        m.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
}

} // namespace

std::string message::header(const std::string& lower_name) const
{
    const auto it = headers.find(lower_name);
    return it == headers.end() ? std::string() : it->second;
}

channel::channel(const std::string& ip, std::uint16_t port)
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in a = to_sockaddr(ip, port);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
        ::close(fd_);
        fd_ = -1;
    }
}

channel::channel(channel&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), unread_(std::move(other.unread_))
{
}

channel::~channel()
{
    if (fd_ >= 0)
        ::close(fd_);
}

bool channel::write(std::string_view data)
{
    while (!data.empty()) {
        const auto n = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool channel::fill(milliseconds limit)
{
    pollfd p{fd_, POLLIN, 0};
    if (fd_ < 0 || ::poll(&p, 1, static_cast<int>(limit.count())) != 1)
        return false;
    constexpr std::size_t buffer_bytes = 65536;
    std::array<char, buffer_bytes> buffer{};
    const auto n = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (n <= 0)
        return false;
    unread_.append(buffer.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<message> channel::read(milliseconds limit)
{
    std::size_t end = 0;
    while ((end = unread_.find("\r\n\r\n")) == std::string::npos)
        if (!fill(limit))
            return std::nullopt;
    message m;
    parse_head(unread_.substr(0, end), m);
    unread_.erase(0, end + 4);
    if (m.header("transfer-encoding") == "chunked") {
        read_chunks(m, limit);
        return m;
    }
    const std::string length = m.header("content-length");
    const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
    while (unread_.size() < bytes)
        if (!fill(limit))
            return m;
    m.body = unread_.substr(0, bytes);
    unread_.erase(0, bytes);
    m.whole = true;
    return m;
}

void channel::read_chunks(message& m, milliseconds limit)
{
    while (true) {
        const auto line = unread_.find("\r\n");
        if (line != std::string::npos) {
            const std::size_t bytes =
                std::stoul(unread_.substr(0, line), nullptr, hex_base);
            if (unread_.size() >= line + 2 + bytes + 2) {
                m.body += unread_.substr(line + 2, bytes);
                unread_.erase(0, line + 2 + bytes + 2);
                m.whole = bytes == 0;
                if (m.whole)
                    return;
                continue;
            }
        }
        if (!fill(limit))
            return;
    }
}

bool channel::has_peer_left() const
{
    char byte = 0;
    const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void channel::reset()
{
    const linger reset_linger{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_linger,
                 sizeof reset_linger);
    ::close(std::exchange(fd_, -1));
}

std::uint16_t
listen_on(const std::string& ip, std::uint16_t port,
          std::function<bool(channel&, const message& request)> serve)
{
    const int fd = open_listener(ip, port);
    if (fd < 0)
        return 0;
    std::thread([fd, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, serve] {
                channel c(accepted);
                constexpr milliseconds idle_limit{15000};
                while (const auto request = c.read(idle_limit))
                    if (!serve(c, *request))
                        return;
            }).detach();
        }
    }).detach();
    return port_of(fd);
}

std::vector<std::uint16_t> free_ports(const std::string& ip, int count)
{
    std::vector<channel> held;
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < count; ++i) {
        held.emplace_back(open_listener(ip, 0));
        ports.push_back(held.back().is_open() ? port_of(held.back().fd()) : 0);
    }
    return ports;
}

std::string answer(int status, const std::string& headers,
                   std::string_view body)
{
    std::string out =
        "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

} // namespace lovagegate::review
