#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

namespace lovagegate::gateway_test {

namespace {

constexpr int ports = 5; ///< of one gateway
constexpr int ok = 200;

constexpr int peer_position = 3; ///< of the port for datagrams

/// Occupies a port, as another process may.
class taken_port
{
public:
    /// @param type SOCK_STREAM to listen, SOCK_DGRAM for datagrams
    explicit taken_port(int type) : fd_(::socket(AF_INET, type, 0))
    {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof a;
        REQUIRE(::bind(fd_, reinterpret_cast<sockaddr*>(&a), size) == 0);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
        REQUIRE((type == SOCK_DGRAM || ::listen(fd_, 1) == 0));
        number_ = ntohs(a.sin_port);
    }
    ~taken_port() { ::close(fd_); }
    taken_port(const taken_port&) = delete;
    taken_port& operator=(const taken_port&) = delete;
    [[nodiscard]] std::uint16_t number() const { return number_; }

private:
    int fd_;
    std::uint16_t number_ = 0;
};

} // namespace

// Guards against test runs that end because another process took a port.
TEST_CASE("the fixture starts the gateway again if a port is taken",
          "[gateway]")
{
    const int position = GENERATE(range(0, ports));
    CAPTURE(position);
    const taken_port taken(position == peer_position ? SOCK_DGRAM
                                                     : SOCK_STREAM);
    int asked = 0;
    site s(site_description{}, {with_warm_up([](const seen_request& r) {
               return signed_answer(r, ok, "answer");
           })},
           {.stop_grace = 200ms, .next_port = [&] {
                return asked++ == position ? taken.number() : free_port();
            }});
    CHECK(asked >= 2 * ports);
    CHECK(s.ask(request_text("first")).body == "answer");
}

// Guards against a fixture that tries forever on ports that stay taken.
TEST_CASE("the fixture reports ports that stay taken", "[gateway]")
{
    const taken_port taken(SOCK_STREAM);
    const auto start = [&] {
        const site s(site_description{}, {[](const seen_request& r) {
                         return signed_answer(r, ok, "answer");
                     }},
                     {.next_port = [&] { return taken.number(); }});
    };
    CHECK_THROWS_AS(start(), net::bind_error);
}

} // namespace lovagegate::gateway_test
