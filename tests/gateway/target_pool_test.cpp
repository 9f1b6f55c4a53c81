#include "lovagegate/gateway/target_pool.hpp"

#include "../net/loop_fixture.hpp"
#include "../net/manual_server.hpp"
#include "../net/raw_server.hpp"
#include "platform/words.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

/// Listens without accepting; the kernel completes the connections.
class silent_listener
{
public:
    silent_listener() : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = net::test::loopback(0);
        socklen_t size = sizeof address;
        ::bind(socket_.get(), reinterpret_cast<sockaddr*>(&address), size);
        ::listen(socket_.get(), 1);
        ::getsockname(socket_.get(), reinterpret_cast<sockaddr*>(&address),
                      &size);
        port_ = ntohs(address.sin_port);
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// @return number of bytes received on the first connection
    [[nodiscard]] std::size_t received() const
    {
        const net::test::descriptor peer(
            ::accept(socket_.get(), nullptr, nullptr));
        char buffer[256];
        const auto n = ::recv(peer.get(), buffer, sizeof buffer, MSG_DONTWAIT);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

private:
    net::test::descriptor socket_;
    std::uint16_t port_ = 0;
};

class outcome final : public call_handler
{
public:
    void on_answer_head(net::message_head&) override {}
    bool on_answer_body(std::string_view) override { return true; }
    void on_answer_end() override { answered = true; }
    void on_call_failed(call_failure f) override { failure = f; }

    [[nodiscard]] bool has_ended() const { return answered || failure; }

    std::optional<call_failure> failure;
    bool answered = false;
};

const std::string empty_answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

target_request request_to(std::uint16_t port)
{
    target_request r;
    r.target = "t";
    r.address = {"127.0.0.1", port};
    r.head = "POST /sign-off HTTP/1.1\r\nHost: h\r\n\r\n";
    return r;
}

} // namespace

TEST_CASE("a request that is canceled before its connection is made is "
          "never sent",
          "[gateway]")
{
    net::test::loop_fixture f;
    target_pool pool(f.loop);
    const silent_listener listener;
    outcome result;
    auto call = pool.send(request_to(listener.port()), 8, result);
    REQUIRE(call);
    call.reset();
    for (int i = 0; i < 5; ++i)
        f.run_until([rounds = 0]() mutable { return ++rounds > 2; });
    CHECK(listener.received() == 0);
}

TEST_CASE("no request is sent on a connection made after the connect "
          "timeout",
          "[gateway]")
{
    net::test::loop_fixture f;
    pool_settings settings;
    settings.connect_timeout = duration::zero();
    target_pool pool(f.loop, settings);
    const silent_listener listener;
    outcome result;
    const auto call = pool.send(request_to(listener.port()), 8, result);
    REQUIRE(call);
    f.run_until([&] { return result.failure.has_value(); });
    for (int i = 0; i < 5; ++i)
        f.run_until([rounds = 0]() mutable { return ++rounds > 2; });
    CHECK(result.failure == call_failure::unreachable);
    CHECK(listener.received() == 0);
}

TEST_CASE("a refused connection is distinguished from a slow one", "[gateway]")
{
    net::test::loop_fixture f;
    target_pool pool(f.loop);
    std::uint16_t port = 0;
    {
        const silent_listener listener;
        port = listener.port();
    }
    outcome result;
    const auto call = pool.send(request_to(port), 8, result);
    REQUIRE(call);
    f.run_until([&] { return result.failure.has_value(); });
    CHECK(result.failure == call_failure::refused);
}

TEST_CASE("a request is not sent on a kept connection that its target has "
          "closed",
          "[gateway]")
{
    net::test::loop_fixture f;
    target_pool pool(f.loop);
    net::test::manual_server server;
    outcome first;
    const auto kept = pool.send(request_to(server.port()), 8, first);
    f.run_until([&] {
        server.answers_one(empty_answer);
        return first.has_ended();
    });
    REQUIRE(first.answered);
    server.close_connection();

    outcome second;
    const auto call = pool.send(request_to(server.port()), 8, second);
    REQUIRE(call);
    f.run_until([&] {
        server.answers_one(empty_answer);
        return second.has_ended();
    });
    CHECK_FALSE(second.failure.has_value());
    CHECK(second.answered);
}

TEST_CASE("an attempt isn't sent again on a connection on which it was refused",
          "[gateway]")
{
    // A faulty engine may repeat the refusal there.
    net::test::loop_fixture f;
    target_pool pool(f.loop);
    net::test::manual_server server;
    const auto header = [](std::string_view name, const std::string& value) {
        return std::string(name) + ": " + value + "\r\n";
    };
    const std::string id = GENERATE("", "a");
    const std::string refusal =
        "HTTP/1.1 503 Full\r\n" + header(platform_wire::header::not_run, "1") +
        (id.empty() ? "" : header(platform_wire::header::attempt_id, id)) +
        "Content-Length: 0\r\n\r\n";
    auto request = request_to(server.port());
    request.attempt_id = "a";
    outcome first;
    const auto refused = pool.send(request, 8, first);
    f.run_until([&] {
        server.answers_one(refusal);
        return first.has_ended();
    });
    REQUIRE(first.answered);
    const bool same = GENERATE(true, false);
    if (!same)
        request.attempt_id = "b";
    outcome second;
    const auto again = pool.send(request, 8, second);
    const bool may_reuse = !same && !id.empty();
    CHECK(pool.counts().opened == (may_reuse ? 1U : 2U));
    CHECK(pool.counts().reused == (may_reuse ? 1U : 0U));
}
