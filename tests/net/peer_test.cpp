#include "lovagegate/net/peer_connector.hpp"
#include "lovagegate/net/peer_listener.hpp"
#include "tests/net/loop_fixture.hpp"
#include "tests/net/raw_server.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <thread>
#include <vector>

namespace lovagegate::net::test {

namespace {

/// Records the events of the links of one side.
struct link_record
{
    peer_link_ptr link;
    std::vector<std::string> messages;
    int opened = 0;
    int closed = 0;

    peer_events events()
    {
        return {.on_open =
                    [this](const peer_link_ptr& l) {
                        link = l;
                        ++opened;
                    },
                .on_message =
                    [this](const peer_link_ptr&, std::string m) {
                        messages.push_back(std::move(m));
                    },
                .on_closed = [this](const peer_link_ptr&) { ++closed; }};
    }
};

} // namespace

TEST_CASE_METHOD(loop_fixture,
                 "Messages arrive complete and in order in both directions",
                 "[net]")
{
    link_record server;
    link_record client;
    const peer_listener listener(loop, "127.0.0.1", 0, {}, server.events());
    peer_connector connector(loop, {});
    const auto link =
        connector.connect("127.0.0.1", listener.port(), client.events());
    const std::string large(1'100'000, 'L');
    CHECK(link->send("first") == send_result::queued);
    CHECK(link->send(large) == send_result::queued);
    CHECK(link->send("last") == send_result::queued);
    REQUIRE(run_until([&] { return server.messages.size() == 3; }));
    CHECK(server.messages == std::vector<std::string>{"first", large, "last"});
    server.link->send("back");
    REQUIRE(run_until([&] { return client.messages.size() == 1; }));
    CHECK(client.messages.front() == "back");
}

TEST_CASE_METHOD(loop_fixture, "A full queue refuses messages", "[net]")
{
    link_record server;
    link_record client;
    peer_settings settings;
    settings.max_message_bytes = 100;
    settings.max_queued_bytes = 150;
    const peer_listener listener(loop, "127.0.0.1", 0, settings,
                                 server.events());
    peer_connector connector(loop, settings);
    const auto link =
        connector.connect("127.0.0.1", listener.port(), client.events());
    CHECK(link->send(std::string(101, 'x')) == send_result::too_large);
    CHECK(link->send(std::string(100, 'x')) == send_result::queued);
    CHECK(link->send(std::string(100, 'x')) == send_result::queue_full);
}

TEST_CASE_METHOD(loop_fixture,
                 "After one side closes a link, neither side can send on it",
                 "[net]")
{
    link_record server;
    link_record client;
    const peer_listener listener(loop, "127.0.0.1", 0, {}, server.events());
    peer_connector connector(loop, {});
    const auto link =
        connector.connect("127.0.0.1", listener.port(), client.events());
    REQUIRE(run_until([&] { return server.opened && client.opened; }));
    server.link->close();
    REQUIRE(run_until([&] { return client.closed == 1; }));
    CHECK(link->send("late") == send_result::closed);
    CHECK(server.link->send("late") == send_result::closed);
    CHECK(server.closed == 0);
}

TEST_CASE_METHOD(loop_fixture, "A link to a closed port is reported as closed",
                 "[net]")
{
    link_record client;
    peer_connector connector(loop, {});
    connector.connect("127.0.0.1", closed_port(), client.events());
    REQUIRE(run_until([&] { return client.closed == 1; }));
    CHECK(client.opened == 0);
}

TEST_CASE_METHOD(loop_fixture, "A message over the size limit closes the link",
                 "[net]")
{
    link_record server;
    link_record client;
    peer_settings small_settings;
    small_settings.max_message_bytes = 100;
    const peer_listener listener(loop, "127.0.0.1", 0, small_settings,
                                 server.events());
    peer_connector connector(loop, {});
    const auto link =
        connector.connect("127.0.0.1", listener.port(), client.events());
    link->send(std::string(101, 'x'));
    REQUIRE(run_until([&] { return client.closed == 1; }));
    CHECK(server.closed == 1);
    CHECK(server.messages.empty());
}

TEST_CASE_METHOD(loop_fixture,
                 "A plain HTTP connection to the peer port is closed", "[net]")
{
    link_record server;
    const peer_listener listener(loop, "127.0.0.1", 0, {}, server.events());
    raw_client http_caller(listener.port());
    http_caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(run_until([&] { return http_caller.is_closed(); }));
    CHECK(server.opened == 0);
}

TEST_CASE_METHOD(loop_fixture, "Timers run in order and can be cancelled",
                 "[net]")
{
    std::vector<int> ran;
    loop.call_later(20ms, [&] { ran.push_back(2); });
    loop.call_later(10ms, [&] { ran.push_back(1); });
    const auto cancelled = loop.call_later(15ms, [&] { ran.push_back(3); });
    loop.cancel(cancelled);
    REQUIRE(run_until([&] { return ran.size() == 2; }));
    CHECK(ran == std::vector<int>{1, 2});
}

TEST_CASE_METHOD(loop_fixture, "Another thread can post to the loop", "[net]")
{
    bool ran = false;
    std::thread other([&] { loop.post([&] { ran = true; }); });
    CHECK(run_until([&] { return ran; }));
    other.join();
}

} // namespace lovagegate::net::test
