#include "lovagegate/net/http_server.hpp"
#include "tests/net/loop_fixture.hpp"
#include "tests/net/raw_server.hpp"
#include "tests/net/small_send_buffer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

namespace lovagegate::net::test {

namespace {

constexpr int buffer_bytes = 4096;
constexpr std::size_t min_answer_bytes = 1024;
constexpr std::size_t answer_step_bytes = 4096;
constexpr std::size_t answer_sizes = 15; ///< up to 57 KB

/// @return the part of the bytes that follows the last head
std::string body_of(const std::string& received)
{
    const auto head_end = received.rfind("\r\n\r\n");
    return head_end == std::string::npos ? "" : received.substr(head_end + 4);
}

std::string request(std::size_t answer_bytes, const char* header)
{
    return "GET /" + std::to_string(answer_bytes) + " HTTP/1.1\r\nHost: h\r\n" +
           header + "\r\n";
}

/// Runs a server with a small send buffer that answers with a body of the size
/// in the path of the request. Ends it as a process does at the end of a stop.
class small_buffer_server
{
protected:
    explicit small_buffer_server(http_server_settings settings = {})
        : serving_(std::make_unique<loop_fixture>()),
          server_(std::make_unique<http_server>(
              serving_->loop, std::move(settings), [](const exchange_ptr& e) {
                  const auto n = std::stoul(e->request().path.substr(1));
                  e->respond(200, {}, std::string(n, 'x'));
              }))
    {
        REQUIRE(limit_send_buffer(server_->port(), buffer_bytes));
    }

    /// Ends the server as soon as it has no pending answer.
    /// @param caller reads slowly until then and all of the rest afterwards
    /// @param requests number of requests that the caller has sent
    void end_when_answered(raw_client& caller, std::uint64_t requests)
    {
        REQUIRE(serving_->run_until([&] {
            caller.receive_part();
            return server_->counts().requests == requests &&
                   server_->pending_answers() == 0;
        }));
        server_.reset();
        serving_.reset();
        loop_fixture reading;
        REQUIRE(reading.run_until([&] { return caller.is_closed(); }));
    }

    /// @return whether the server received a request before the time limit
    bool await_request()
    {
        return serving_->run_until(
            [&] { return server_->counts().requests > 0; });
    }

    /// @return whether all connections were closed before the time limit
    bool close_all()
    {
        return serving_->run_until([&] { return server_->connections() == 0; });
    }

    [[nodiscard]] std::uint16_t port() const { return server_->port(); }

private:
    std::unique_ptr<loop_fixture> serving_;
    std::unique_ptr<http_server> server_;
};

/// As small_buffer_server; disconnects idle callers soon.
class short_idle_server : public small_buffer_server
{
protected:
    short_idle_server() : small_buffer_server({.idle_timeout = 100ms}) {}
};

} // namespace

// Guards against bytes in the library that are lost when a stop ends.
TEST_CASE_METHOD(small_buffer_server,
                 "An answer is pending until the socket has all of it", "[net]")
{
    const auto step = GENERATE(range(std::size_t{0}, answer_sizes));
    const auto* const header = GENERATE("", "Connection: close\r\n");
    const std::size_t size = min_answer_bytes + step * answer_step_bytes;
    CAPTURE(size, header);
    raw_client caller(port(), buffer_bytes);
    caller.send(request(size, header));
    end_when_answered(caller, 1);
    CHECK(body_of(caller.received()).size() == size);
}

// Guards against a connection that is reused before its answer is sent.
TEST_CASE_METHOD(small_buffer_server,
                 "Pipelined answers arrive complete and in order", "[net]")
{
    const auto step = GENERATE(range(std::size_t{0}, answer_sizes));
    const std::size_t size = min_answer_bytes + step * answer_step_bytes;
    CAPTURE(size);
    raw_client caller(port(), buffer_bytes);
    caller.send(request(size, "") + request(size + 1, "") +
                request(size + 2, ""));
    end_when_answered(caller, 3);
    const auto& all = caller.received();
    CHECK(body_of(all).size() == size + 2);
    CHECK(static_cast<std::size_t>(std::ranges::count(all, 'x')) ==
          3 * size + 3);
}

// Guards against connections that callers hold without end by not reading.
TEST_CASE_METHOD(short_idle_server,
                 "A caller that leaves the end of its answer is disconnected",
                 "[net]")
{
    constexpr std::size_t size = 2 * answer_step_bytes + min_answer_bytes;
    raw_client caller(port(), buffer_bytes);
    caller.send(request(size, ""));
    REQUIRE(await_request());
    CHECK(close_all());
}

} // namespace lovagegate::net::test
