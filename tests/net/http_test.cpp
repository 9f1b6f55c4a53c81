#include "lovagegate/net/http_client.hpp"
#include "lovagegate/net/http_server.hpp"
#include "tests/net/loop_fixture.hpp"
#include "tests/net/raw_server.hpp"

#include <catch2/catch.hpp>
#include <optional>

namespace lovagegate::net::test {

namespace {

/// Records the events of a call.
struct call_record
{
    bool connected = false;
    std::optional<response_head> head;
    std::string body;
    bool complete = false;
    std::optional<call_failure> failure;

    [[nodiscard]] bool ended() const { return complete || failure; }

    call_events events()
    {
        return {.on_connected = [this] { connected = true; },
                .on_response = [this](const auto& h) { head = h; },
                .on_data = [this](std::string_view d) { body += d; },
                .on_complete = [this] { complete = true; },
                .on_failed = [this](call_failure f) { failure = f; }};
    }
};

client_request to(std::uint16_t port, std::string body = {})
{
    client_request request;
    request.address = "127.0.0.1";
    request.port = port;
    request.method = body.empty() ? "GET" : "POST";
    request.path = "/a/b?x=1&y=2";
    request.headers = {{"x-request-id", "r-1"}};
    request.body = std::move(body);
    return request;
}

} // namespace

TEST_CASE_METHOD(loop_fixture, "Request and response arrive complete", "[net]")
{
    exchange_ptr seen;
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        seen = e;
        e->respond(201, {{"x-request-id", "r-1"}}, "answer");
    });
    http_client client(loop);
    call_record r;
    const std::string body(100'000, 'b');
    client.send(to(server.port(), body), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.complete);
    CHECK(r.connected);
    CHECK(r.head->status == 201);
    CHECK(r.head->header("x-request-id") == "r-1");
    CHECK(r.body == "answer");
    CHECK(seen->request().method == "POST");
    CHECK(seen->request().path == "/a/b");
    CHECK(seen->request().argument("y") == "2");
    CHECK(seen->request().header("x-request-id") == "r-1");
    CHECK(seen->request().body == body);
}

TEST_CASE_METHOD(loop_fixture, "An empty response body is complete", "[net]")
{
    http_server server(loop, {},
                       [&](const exchange_ptr& e) { e->respond(404, {}, ""); });
    http_client client(loop);
    call_record r;
    client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.complete);
    CHECK(r.head->status == 404);
}

TEST_CASE_METHOD(loop_fixture, "A redirect is returned, not followed", "[net]")
{
    int requests = 0;
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        ++requests;
        e->respond(302, {{"location", "/elsewhere"}}, "moved");
    });
    http_client client(loop);
    call_record r;
    client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.complete);
    CHECK(r.head->status == 302);
    CHECK(requests == 1);
}

TEST_CASE_METHOD(loop_fixture, "A streamed response arrives in parts", "[net]")
{
    exchange_ptr open;
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        open = e;
        e->start(200, {{"content-type", "text/event-stream"}});
        e->write("one");
    });
    http_client client(loop);
    call_record r;
    client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.body == "one"; }));
    CHECK_FALSE(r.ended());
    open->write("two");
    open->finish();
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.complete);
    CHECK(r.body == "onetwo");
}

TEST_CASE_METHOD(loop_fixture, "A paused reader stops the sender", "[net]")
{
    constexpr std::size_t total = std::size_t{32} << 20U;
    constexpr std::size_t step = 64 * 1024;
    std::size_t written = 0;
    std::size_t largest = 0;
    exchange_ptr open;
    std::function<void()> fill = [&] {
        while (open->buffered() < step && written < total) {
            open->write(std::string(step, 'x'));
            written += step;
        }
        largest = std::max(largest, open->buffered());
        if (written >= total)
            open->finish();
    };
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        open = e;
        e->start(200, {});
        e->on_drained(fill);
        fill();
    });
    http_client client(loop);
    call_record r;
    std::size_t received = 0;
    auto events = r.events();
    events.on_data = [&](std::string_view d) { received += d.size(); };
    const auto call = client.send(to(server.port()), events);
    REQUIRE(run_until([&] { return received > 0; }));
    call->pause();
    bool waited = false;
    loop.call_later(300ms, [&] { waited = true; });
    const auto before = received;
    REQUIRE(run_until([&] { return waited; }));
    CHECK(received - before <= 64 * 1024);
    CHECK(written < total);
    call->resume();
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.complete);
    CHECK(received == total);
    CHECK(largest <= 2 * step);
}

TEST_CASE_METHOD(loop_fixture,
                 "The server detects that the caller disconnected", "[net]")
{
    exchange_ptr open;
    bool closed = false;
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        open = e;
        e->on_closed([&] { closed = true; });
    });
    http_client client(loop);
    call_record r;
    const auto call = client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return open != nullptr; }));
    call->cancel();
    REQUIRE(run_until([&] { return closed; }));
    CHECK_FALSE(open->is_open());
    CHECK_FALSE(r.ended());
}

TEST_CASE_METHOD(loop_fixture, "A refused connection is reported as not sent",
                 "[net]")
{
    http_client client(loop);
    call_record r;
    const auto call = client.send(to(closed_port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.failure == call_failure::connect_failed);
    CHECK_FALSE(r.connected);
    CHECK_FALSE(call->may_have_been_sent());
}

TEST_CASE_METHOD(loop_fixture,
                 "A close before the response is reported as possibly sent",
                 "[net]")
{
    const raw_server server("");
    http_client client(loop);
    call_record r;
    const auto call = client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.failure == call_failure::broken_before_response);
    CHECK(call->may_have_been_sent());
}

TEST_CASE_METHOD(loop_fixture,
                 "A response whose status isn't one of a final response is "
                 "reported as such",
                 "[net]")
{
    const std::string status =
        GENERATE("000", "099", "600", "999", "100", "101", "199");
    CAPTURE(status);
    const raw_server server("HTTP/1.1 " + status +
                            " X\r\nContent-Length: 4\r\n\r\nbody");
    http_client client(loop);
    call_record r;
    const auto call = client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK_FALSE(r.head);
    CHECK(r.body.empty());
    CHECK(r.failure == call_failure::not_a_response);
    CHECK(call->may_have_been_sent());
}

TEST_CASE_METHOD(loop_fixture,
                 "A truncated response body is reported as broken", "[net]")
{
    const std::string answer = GENERATE(
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nhalf\r\n0\r\n");
    CAPTURE(answer);
    const raw_server server(answer);
    http_client client(loop);
    call_record r;
    client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.failure == call_failure::broken_in_body);
    CHECK(r.body == "half");
}

TEST_CASE_METHOD(loop_fixture, "A target that never responds times out",
                 "[net]")
{
    http_server server(loop, {}, [](const exchange_ptr&) {});
    http_client client(loop);
    call_record r;
    auto request = to(server.port());
    request.response_timeout = 50ms;
    client.send(request, r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.failure == call_failure::response_timeout);
}

TEST_CASE_METHOD(loop_fixture, "A response body that stalls times out", "[net]")
{
    http_server server(loop, {}, [](const exchange_ptr& e) {
        e->start(200, {});
        e->write("part");
    });
    http_client client(loop);
    call_record r;
    auto request = to(server.port());
    request.body_timeout = 50ms;
    client.send(request, r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.failure == call_failure::body_timeout);
    CHECK(r.body == "part");
}

TEST_CASE_METHOD(
    loop_fixture,
    "A request body over the limit is passed to the refusal handler", "[net]")
{
    int requests = 0;
    bad_request refusal{};
    http_server_settings settings;
    settings.max_body_bytes = 1000;
    http_server server(
        loop, settings, [&](const exchange_ptr&) { ++requests; },
        [&](bad_request reason) {
            refusal = reason;
            return http_answer{413, {}, "too large"};
        });
    http_client client(loop);
    call_record r;
    client.send(to(server.port(), std::string(2000, 'x')), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.head->status == 413);
    CHECK(r.body == "too large");
    CHECK(refusal == bad_request::body_too_large);
    CHECK(requests == 0);
}

TEST_CASE_METHOD(loop_fixture,
                 "A keep-alive connection serves pipelined requests in order",
                 "[net]")
{
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        e->respond(200, {}, e->request().path + ";");
    });
    raw_client caller(server.port());
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(run_until([&] { return caller.is_closed(); }));
    const auto text = caller.received();
    CHECK(text.find("/1;") < text.find("/2;"));
    CHECK(text.find("/2;") < text.find("/3;"));
    CHECK(text.find("/3;") != std::string::npos);
    CHECK(server.counts().accepted == 1);
}

TEST_CASE_METHOD(loop_fixture,
                 "Bytes after a request body close the connection", "[net]")
{
    exchange_ptr open;
    bool closed = false;
    http_server server(loop, {}, [&](const exchange_ptr& e) {
        open = e;
        e->on_closed([&] { closed = true; });
    });
    raw_client caller(server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabc");
    CHECK(run_until([&] { return caller.is_closed(); }));
    CHECK(closed);
}

TEST_CASE_METHOD(loop_fixture,
                 "A response body that is received to its end is complete",
                 "[net]")
{
    const std::string answer =
        GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
                 "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                 "Content-Length: 4\r\n\r\nhalf",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "4\r\nhalf\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "2\r\nha\r\n2\r\nlf\r\n0\r\n\r\n");
    CAPTURE(answer);
    const raw_server server(answer);
    http_client client(loop);
    call_record r;
    client.send(to(server.port()), r.events());
    REQUIRE(run_until([&] { return r.ended(); }));
    CHECK(r.complete);
    CHECK(r.body == "half");
}

TEST_CASE_METHOD(
    loop_fixture,
    "Connections with incomplete requests are closed after the timeout",
    "[net]")
{
    http_server_settings settings;
    settings.head_timeout = 50ms;
    settings.body_timeout = 50ms;
    int requests = 0;
    http_server server(loop, settings,
                       [&](const exchange_ptr&) { ++requests; });
    raw_client head(server.port());
    raw_client body(server.port());
    raw_client silent(server.port());
    head.send("GET / HTT");
    body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
    REQUIRE(run_until([&] {
        return head.is_closed() && body.is_closed() && silent.is_closed();
    }));
    CHECK(requests == 0);
    CHECK(server.connections() == 0);
    CHECK(server.counts().timed_out == 3);
}

TEST_CASE_METHOD(loop_fixture,
                 "Malformed and unsupported requests do not reach the handler",
                 "[net]")
{
    const std::string garbage = GENERATE(
        as<std::string>(), std::string("\0\1\2\3\r\n\r\n", 8),
        "BREW /pot HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x'),
        "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\n"
        "Connection: upgrade\r\n\r\n");
    CAPTURE(garbage.substr(0, 60));
    int requests = 0;
    http_server_settings settings;
    settings.head_timeout = 200ms;
    http_server server(loop, settings,
                       [&](const exchange_ptr&) { ++requests; });
    raw_client caller(server.port());
    caller.send(garbage);
    CHECK(run_until([&] { return caller.is_closed(); }));
    CHECK(requests == 0);
}

TEST_CASE_METHOD(loop_fixture, "Connections over the limit are closed", "[net]")
{
    http_server_settings settings;
    settings.max_connections = 2;
    http_server server(loop, settings, [](const exchange_ptr&) {});
    raw_client first(server.port());
    raw_client second(server.port());
    REQUIRE(run_until([&] { return server.connections() == 2; }));
    raw_client third(server.port());
    CHECK(run_until([&] { return third.is_closed(); }));
    CHECK_FALSE(first.is_closed());
    CHECK(server.counts().refused_connections == 1);
}

} // namespace lovagegate::net::test
