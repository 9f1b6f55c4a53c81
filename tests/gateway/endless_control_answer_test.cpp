#include "lovagegate/gateway/short_call.hpp"
#include "platform/http_fields.hpp"
#include "standins/site/scripted_server.hpp"
#include "tests/net/loop_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;
using namespace lovagegate::standins;

namespace {

std::string block_of(const std::string& text)
{
    constexpr std::size_t block_bytes = std::size_t{16} * 1024;
    std::string all;
    while (all.size() < block_bytes)
        all += text;
    return all;
}

script endless(const std::string& begin, const std::string& more)
{
    return {{begin, {}, then::go_on}, {block_of(more), 1ms, then::repeat}};
}

/// Longer than a test may take, so that only limits on bytes end a call.
constexpr duration no_time_limit = 60s;
constexpr std::size_t size_limit = std::size_t{256} * 1024;

/// Sends a short_call to a server with a given answer.
struct short_call_fixture
{
    explicit short_call_fixture(const script& answer)
        : server(f.loop, [answer](const seen_request&) { return answer; })
    {
        server.on_left = [this] { left = true; };
    }

    /// @return whether the call ended
    bool ask()
    {
        target_request request;
        request.target = "store";
        request.address = {"127.0.0.1", server.port()};
        request.head = platform_wire::write_get_head("h", "/x");
        short_call call(f.loop, pool, request, 8, no_time_limit, size_limit,
                        [this](const short_call::result& r) { result = r; });
        return f.run_until([this] { return result.has_value(); });
    }

    net::test::loop_fixture f;
    scripted_server server;
    target_pool pool{f.loop};
    std::optional<short_call::result> result;
    bool left = false;
};

} // namespace

TEST_CASE("a call to the store, a peer or an engine fails when its answer "
          "is endless",
          "[gateway]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const auto [begin, more] = GENERATE_COPY(table<std::string, std::string>({
        {"HTTP/1.1 200 ", "a"},
        {ok + "A: ", "b"},
        {ok, "A: b\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {ok + "\r\n", "body"},
        {chunked, "1\r\na\r\n"},
        {chunked + "1;a=", "b"},
        {chunked + "1\r\na\r\n0\r\nA: ", "b"},
    }));
    CAPTURE(begin, more);
    short_call_fixture c(endless(begin, more));
    REQUIRE(c.ask());
    CHECK(c.result->status == 0);
    CHECK(c.result->failure == call_failure::not_an_answer);
    CHECK(c.f.run_until([&] { return c.left; }));
}

TEST_CASE("the connection is closed when endless bytes follow a complete "
          "answer of the store",
          "[gateway]")
{
    short_call_fixture c(endless(whole_answer(200, {}, "all"), "more"));
    REQUIRE(c.ask());
    CHECK(c.result->status == 200);
    CHECK(c.result->body == "all");
    CHECK(c.f.run_until([&] { return c.left; }));
    CHECK(c.pool.connections() == 0);
}
