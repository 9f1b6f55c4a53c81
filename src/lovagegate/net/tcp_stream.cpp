#include "lovagegate/net/tcp_stream.hpp"

#include "lovagegate/net/errors.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace lovagegate::net {

namespace {

/// Read at once; handlers that hold what they get can't refuse it any more.
constexpr std::size_t receive_buffer_bytes = std::size_t{8} * 1024;
/// Exceeds the largest UDP payload, so that no datagram is truncated.
constexpr std::size_t max_datagram_bytes = std::size_t{64} * 1024;
/// Sent bytes are erased from the front of a write buffer once they exceed
/// this.
constexpr std::size_t compaction_threshold_bytes = std::size_t{64} * 1024;
/// Established connections that the kernel queues until they are accepted.
constexpr int listen_backlog = 1024;
/// Limits the connections accepted or datagrams received per readable event, so
/// that one socket does not starve the others.
constexpr int max_operations_per_event = 64;
/// A waiting connection makes the listening socket readable, so without a pause
/// the event loop would spin while there is no descriptor to accept it.
constexpr duration accept_pause = 100ms;

sockaddr_in to_sockaddr(const settings::endpoint& e)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(e.port);
    ::inet_pton(AF_INET, e.address.c_str(), &a.sin_addr);
    return a;
}

settings::endpoint from_sockaddr(const sockaddr_in& a)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &a.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(a.sin_port)};
}

void set_option(int fd, int level, int option, int value)
{
    // Errors are ignored: without the option, only latency or the detection of
    // broken connections suffers.
    ::setsockopt(fd, level, option, &value, sizeof value);
}

int open_socket(int type)
{
    const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        throw context_error("cannot create socket: errno " +
                            std::to_string(errno));
    return fd;
}

int open_bound_socket(int type, const settings::endpoint& at)
{
    const int fd = open_socket(type);
    set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in a = to_sockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
        const int failure = errno;
        ::close(fd);
        throw bind_error(to_string(at) + ": errno " + std::to_string(failure));
    }
    return fd;
}

int start_connect(const settings::endpoint& to,
                  duration acknowledgement_timeout)
{
    const int fd = open_socket(SOCK_STREAM);
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
        acknowledgement_timeout);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(limit.count()));
    const sockaddr_in a = to_sockaddr(to);
    // A failure is reported by SO_ERROR when the socket becomes writable.
    std::ignore =
        ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
    return fd;
}

/// Creates the watch of a descriptor. The callers derive privately from
/// descriptor_handler, so only their members can convert *this to it.
std::unique_ptr<internal::watched_descriptor>
watch(event_loop& loop, int fd, internal::descriptor_handler& handler)
{
    return std::make_unique<internal::watched_descriptor>(loop, fd, handler);
}

bool is_out_of_resources(int failure)
{
    return failure == EMFILE || failure == ENFILE || failure == ENOBUFS ||
           failure == ENOMEM;
}

bool would_block(int failure)
{
    return failure == EAGAIN || failure == EWOULDBLOCK || failure == EINTR;
}

} // namespace

tcp_stream::tcp_stream(event_loop& loop, int fd, stream_handler& handler)
    : handler_(handler), connected_(true)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    watch_ = watch(loop, fd, *this);
}

tcp_stream::tcp_stream(event_loop& loop, const settings::endpoint& to,
                       duration acknowledgement_timeout,
                       stream_handler& handler)
    : handler_(handler),
      watch_(watch(loop, start_connect(to, acknowledgement_timeout), *this))
{
    watch_->request_writable();
}

tcp_stream::~tcp_stream()
{
    *alive_ = false;
}

void tcp_stream::write(std::string_view data)
{
    if (ended_ || data.empty())
        return;
    std::size_t n = 0;
    if (connected_ && unsent() == 0) {
        const auto done =
            ::send(watch_->fd(), data.data(), data.size(), MSG_NOSIGNAL);
        // Errors are reported later, by the event loop.
        n = done > 0 ? static_cast<std::size_t>(done) : 0;
    }
    if (n == data.size())
        return;
    if (sent_bytes_ > compaction_threshold_bytes) {
        write_buffer_.erase(0, sent_bytes_);
        sent_bytes_ = 0;
    }
    write_buffer_.append(data.substr(n));
    if (connected_)
        watch_->request_writable();
}

bool tcp_stream::flush()
{
    while (unsent() > 0) {
        const auto done =
            ::send(watch_->fd(), write_buffer_.data() + sent_bytes_, unsent(),
                   MSG_NOSIGNAL);
        if (done < 0) {
            if (!would_block(errno))
                return false;
            watch_->request_writable();
            return true;
        }
        sent_bytes_ += static_cast<std::size_t>(done);
    }
    std::string().swap(write_buffer_);
    sent_bytes_ = 0;
    if (shutdown_when_sent_)
        ::shutdown(watch_->fd(), SHUT_WR);
    return true;
}

void tcp_stream::end_writing()
{
    shutdown_when_sent_ = true;
    if (connected_ && unsent() == 0 && !ended_)
        ::shutdown(watch_->fd(), SHUT_WR);
}

void tcp_stream::give_up() noexcept
{
    ended_ = true;
    write_buffer_.clear();
    sent_bytes_ = 0;
}

void tcp_stream::abort_on_close() noexcept
{
    const linger reset_linger{1, 0};
    if (watch_->fd() >= 0)
        ::setsockopt(watch_->fd(), SOL_SOCKET, SO_LINGER, &reset_linger,
                     sizeof reset_linger);
}

void tcp_stream::enable_reading(bool on)
{
    watch_->watch_readable(on);
}

std::string peer_address(int fd)
{
    sockaddr_in a{};
    socklen_t size = sizeof a;
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&a), &size) != 0)
        return {};
    return from_sockaddr(a).address;
}

std::string tcp_stream::peer_address() const
{
    return net::peer_address(watch_->fd());
}

bool tcp_stream::has_unread_input() const noexcept
{
    char byte = 0;
    return ::recv(watch_->fd(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >=
               0 ||
           !would_block(errno);
}

void tcp_stream::on_readable()
{
    thread_local std::array<char, receive_buffer_bytes> buffer;
    if (ended_ || !connected_)
        return;
    const auto n = ::recv(watch_->fd(), buffer.data(), buffer.size(), 0);
    if (n > 0) {
        handler_.on_data({buffer.data(), static_cast<std::size_t>(n)});
        return;
    }
    if (n == 0)
        end(stream_end::end_of_data);
    else if (!would_block(errno))
        end(stream_end::reset);
}

void tcp_stream::on_writable()
{
    if (ended_)
        return;
    if (!connected_) {
        int failure = 0;
        socklen_t size = sizeof failure;
        ::getsockopt(watch_->fd(), SOL_SOCKET, SO_ERROR, &failure, &size);
        if (failure != 0) {
            refused_ = failure == ECONNREFUSED;
            end(stream_end::connect_failed);
            return;
        }
        connected_ = true;
        const auto alive = alive_;
        handler_.on_connected();
        if (!*alive || ended_)
            return;
    }
    const bool had_unsent = unsent() > 0;
    if (!flush()) {
        end(stream_end::reset);
        return;
    }
    if (had_unsent && unsent() == 0)
        handler_.on_drained();
}

void tcp_stream::on_hang_up()
{
    if (!ended_)
        end(connected_ ? stream_end::reset : stream_end::connect_failed);
}

void tcp_stream::end(stream_end how)
{
    ended_ = true;
    handler_.on_end(how);
}

tcp_listener::tcp_listener(event_loop& loop, const settings::endpoint& at,
                           accept_handler on_accept)
    : loop_(loop), on_accept_(std::move(on_accept))
{
    const int fd = open_bound_socket(SOCK_STREAM, at);
    if (::listen(fd, listen_backlog) != 0) {
        ::close(fd);
        throw bind_error(to_string(at) + ": cannot listen");
    }
    watch_ = watch(loop, fd, *this);
}

tcp_listener::~tcp_listener()
{
    if (resume_timer_ != 0)
        loop_.cancel(resume_timer_);
}

void tcp_listener::pause()
{
    ++pauses_;
    watch_->watch_readable(false);
    resume_timer_ = loop_.call_later(accept_pause, [this] {
        resume_timer_ = 0;
        watch_->watch_readable(true);
    });
}

std::uint16_t tcp_listener::port() const
{
    sockaddr_in a{};
    socklen_t size = sizeof a;
    ::getsockname(watch_->fd(), reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
}

void tcp_listener::on_readable()
{
    for (int i = 0; i < max_operations_per_event; ++i) {
        const int fd = ::accept4(watch_->fd(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (is_out_of_resources(errno) && resume_timer_ == 0)
                pause();
            return;
        }
        on_accept_(fd);
    }
}

datagram_socket::datagram_socket(event_loop& loop, const settings::endpoint& at,
                                 receive_handler on_receive)
    : on_receive_(std::move(on_receive)),
      watch_(watch(loop, open_bound_socket(SOCK_DGRAM, at), *this))
{
}

void datagram_socket::send(const settings::endpoint& to, std::string_view data)
{
    const sockaddr_in a = to_sockaddr(to);
    // Errors are ignored: callers must tolerate lost datagrams in any case.
    const auto n =
        ::sendto(watch_->fd(), data.data(), data.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&a), sizeof a);
    if (n > 0)
        bytes_sent_ += static_cast<std::uint64_t>(n);
}

void datagram_socket::on_readable()
{
    thread_local std::array<char, max_datagram_bytes> buffer;
    for (int i = 0; i < max_operations_per_event; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto n = ::recvfrom(watch_->fd(), buffer.data(), buffer.size(), 0,
                                  reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 0)
            return;
        on_receive_(from_sockaddr(from),
                    {buffer.data(), static_cast<std::size_t>(n)});
    }
}

} // namespace lovagegate::net
