#include "lovagegate/net/tcp_stream.hpp"

#include "tests/net/loop_fixture.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace lovagegate::net::test {

namespace {

struct counting_handler final : stream_handler
{
    bool on_data(std::string_view) override { return true; }
    void on_end(stream_end) override { ended = true; }
    void on_drained() override { ++drained; }

    bool ended = false;
    int drained = 0;
};

/// Two connected sockets with a small send buffer.
class small_buffer_pair
{
public:
    small_buffer_pair()
    {
        std::array<int, 2> ends{};
        ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data());
        constexpr int buffer_bytes = 4096;
        ::setsockopt(ends[0], SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
                     sizeof buffer_bytes);
        stream_end_ = ends[0];
        peer_ = ends[1];
    }
    ~small_buffer_pair() { ::close(peer_); }
    small_buffer_pair(const small_buffer_pair&) = delete;
    small_buffer_pair& operator=(const small_buffer_pair&) = delete;

    /// @return the descriptor for the stream, which takes ownership of it
    [[nodiscard]] int stream_end() const { return stream_end_; }

    /// Reads at most 1500 of the available bytes.
    void read()
    {
        std::array<char, 1500> buffer{};
        const auto n = ::recv(peer_, buffer.data(), buffer.size(), 0);
        if (n > 0)
            received.append(buffer.data(), static_cast<std::size_t>(n));
        else if (n == 0)
            at_end = true;
    }

    std::string received;
    bool at_end = false;

private:
    int stream_end_ = -1;
    int peer_ = -1;
};

} // namespace

TEST_CASE_METHOD(loop_fixture,
                 "A write that needs many partial sends is sent completely",
                 "[net]")
{
    small_buffer_pair sockets;
    counting_handler handler;
    tcp_stream stream(loop, sockets.stream_end(), handler);
    std::string sent;
    for (int i = 0; sent.size() < 300'000; ++i)
        sent += std::to_string(i) + ' ';
    stream.write(sent);
    stream.end_writing();
    CHECK(run_until([&] {
        sockets.read();
        return sockets.at_end;
    }));
    CHECK((sockets.received == sent)); // in parentheses: too long to print
    CHECK(stream.unsent() == 0);
    CHECK(handler.drained == 1);
}

} // namespace lovagegate::net::test
