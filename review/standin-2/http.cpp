#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t read_bytes = 16384;
constexpr int first_port = 20000;
constexpr int last_port = 30000;

sockaddr_in to_sockaddr(const endpoint& e)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(e.port));
    ::inet_pton(AF_INET, e.address.c_str(), &a.sin_addr);
    return a;
}

int open_bound_socket(int type, const endpoint& at)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in a = to_sockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0)
        return fd;
    ::close(fd);
    return -1;
}

bool parse_head(std::string_view head, message& out)
{
    std::istringstream lines{std::string(head)};
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (out.first_line.empty()) {
            out.first_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return line.empty();
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        const auto from = line.find_first_not_of(' ', colon + 1);
        out.headers[name] = from == std::string::npos ? "" : line.substr(from);
    }
    return !out.first_line.empty();
}

/// Reads a chunked body without trailers.
/// @return whether it is whole
bool read_chunks(message& out, std::string& rest,
                 const std::function<bool()>& read_more)
{
    constexpr int hexadecimal = 16;
    for (;;) {
        auto end = rest.find("\r\n");
        while (end == std::string::npos) {
            if (!read_more())
                return false;
            end = rest.find("\r\n");
        }
        const std::size_t size =
            std::strtoul(rest.c_str(), nullptr, hexadecimal);
        const std::size_t whole = end + 2 + size + 2;
        while (rest.size() < whole)
            if (!read_more())
                return false;
        out.body += rest.substr(end + 2, size);
        rest.erase(0, whole);
        if (size == 0)
            return true;
    }
}

} // namespace

std::int64_t now_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void sleep_until_ms(std::int64_t at)
{
    sleep_ms(std::max<std::int64_t>(0, at - now_ms()));
}

std::string message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string message::word(std::size_t number) const
{
    std::istringstream words(first_line);
    std::string word;
    for (std::size_t i = 0; i <= number; ++i)
        words >> word;
    return word;
}

std::optional<message> read_message(int fd, std::string& rest)
{
    std::array<char, read_bytes> buffer{};
    const auto read_more = [&] {
        const auto n = ::recv(fd, buffer.data(), buffer.size(), 0);
        if (n > 0)
            rest.append(buffer.data(), static_cast<std::size_t>(n));
        return n > 0;
    };
    std::size_t end = rest.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_more())
            return std::nullopt;
        end = rest.find("\r\n\r\n");
    }
    message out;
    if (!parse_head(std::string_view(rest).substr(0, end + 2), out))
        return std::nullopt;
    rest.erase(0, end + 4);
    if (!out.header("transfer-encoding").empty())
        return read_chunks(out, rest, read_more) ? std::optional(out)
                                                 : std::nullopt;
    const auto length = out.header("content-length");
    const std::size_t size =
        length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (rest.size() < size)
        if (!read_more())
            return std::nullopt;
    out.body = rest.substr(0, size);
    rest.erase(0, size);
    return out;
}

bool send_all(int fd, std::string_view data)
{
    while (!data.empty()) {
        const auto n = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

int connect_to(const endpoint& to, std::int64_t timeout_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{static_cast<time_t>(timeout_ms / 1000),
                        static_cast<suseconds_t>(timeout_ms % 1000 * 1000)};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in a = to_sockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0)
        return fd;
    ::close(fd);
    return -1;
}

int find_free_port(const std::vector<std::string>& addresses)
{
    static int next = first_port + static_cast<int>(::getpid() * 37 %
                                                    (last_port - first_port));
    for (int tries = 0; tries < last_port - first_port; ++tries) {
        const int port = next++;
        if (next == last_port)
            next = first_port;
        const bool free = std::ranges::all_of(addresses, [&](const auto& a) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = open_bound_socket(type, {a, port});
                if (fd < 0)
                    return false;
                ::close(fd);
            }
            return true;
        });
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

server::server(const endpoint& at, handler on_connection)
    : on_connection_(std::move(on_connection)),
      listener_(open_bound_socket(SOCK_STREAM, at))
{
    constexpr int backlog = 512;
    if (listener_ < 0 || ::listen(listener_, backlog) != 0)
        throw std::runtime_error("cannot listen at " + at.address);
    acceptor_ = std::thread([this] { accept_connections(); });
}

server::~server()
{
    stop();
}

void server::accept_connections()
{
    constexpr int poll_ms = 20;
    while (!stopping_) {
        pollfd waiting{listener_, POLLIN, 0};
        if (::poll(&waiting, 1, poll_ms) != 1)
            continue;
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
        workers_.emplace_back([this, fd] {
            on_connection_(fd);
            const std::lock_guard inner(mutex_);
            open_.erase(fd);
            ::close(fd);
        });
    }
}

void server::stop()
{
    if (stopping_.exchange(true))
        return;
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        const linger reset{1, 0};
        for (const int fd : open_) {
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    for (auto& w : workers_)
        w.join();
}

} // namespace review
