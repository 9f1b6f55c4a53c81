#include "bench/garbage_source.hpp"

#include <arpa/inet.h>
#include <array>
#include <deque>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lovagegate::bench {

namespace {

/// A TCP socket that connects on construction and is closed on destruction.
class connection
{
public:
    explicit connection(const settings::endpoint& to)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        connected_ =
            connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) == 0;
    }
    ~connection()
    {
        if (descriptor_ >= 0) {
            close(descriptor_);
        }
    }
    connection(connection&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)),
          connected_(other.connected_)
    {
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection& operator=(connection&&) = delete;

    [[nodiscard]] bool connected() const noexcept { return connected_; }

    void send_payload(std::string_view payload) const
    {
        // Errors are ignored: the gateway may already have closed the
        // connection, which is correct behaviour.
        static_cast<void>(
            send(descriptor_, payload.data(), payload.size(), MSG_NOSIGNAL));
    }

private:
    int descriptor_;
    bool connected_ = false;
};

/// Nothing, part of a TLS ClientHello, incomplete and invalid HTTP requests,
/// and bytes that are not HTTP.
constexpr std::array<std::string_view, 8> malformed_payloads = {
    "",
    "\x16\x03\x01\x02\x01\x01\xfc\x03\x03",
    "GET",
    "GET / HTTP/9.9\r\nHost\r\n\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
    "Content-Length: 500\r\n\r\n{\"model\":",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
    "Content-Length: 3\r\n\r\n\xff\xfe{",
    "\r\n\r\n\x01\x02\x03 nonsense \r\n\r\n",
};

} // namespace

garbage_source::garbage_source(garbage_options options)
    : options_(std::move(options)), thread_([this] { run(); })
{
}

void garbage_source::join()
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

void garbage_source::run()
{
    std::deque<connection> open_connections;
    for (std::size_t i = 0; i < options_.connects; ++i) {
        connection c(options_.target);
        if (c.connected()) {
            ++connected_;
            c.send_payload(
                malformed_payloads.at(i % malformed_payloads.size()));
            open_connections.push_back(std::move(c));
        }
        if (open_connections.size() > options_.open_at_once) {
            open_connections.pop_front();
        }
        std::this_thread::sleep_for(options_.connect_interval);
    }
}

} // namespace lovagegate::bench
