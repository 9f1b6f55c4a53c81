// Each case guards against a crowd of misbehaving callers that makes the real
// process use more memory or descriptors than its settings allow, end, or stop
// serving. Times and the share of served requests aren't checked. The bounds
// come from the settings' limits.

#include "tests/callers/gateway_process.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace {

using namespace lovagegate;
using namespace lovagegate::callers_test;

constexpr std::size_t body_limit = std::size_t{4} * 1024 * 1024;
/// Bodies of this many callers exceed the memory limit several times over.
constexpr std::size_t callers_with_bodies = 150;
constexpr std::size_t many_callers = 600;
constexpr std::size_t block_bytes = std::size_t{64} * 1024;
/// A crowd whose bytes aren't taken goes on no longer than this.
constexpr auto play_time = 3s;

std::string path_at(place p)
{
    switch (p) {
    case place::routed_path:
        return "/p/x";
    case place::path_without_route:
        return "/none";
    default:
        return "/metrics";
    }
}

/// @param rest further lines, with the empty one at the end
std::string head_for(const std::string& path, const std::string& method,
                     const std::string& rest)
{
    std::string head = standins::request_text("misbehaving", {}, method);
    const std::string usual_path = "/p/x";
    head.replace(head.find(usual_path), usual_path.size(), path);
    head.resize(head.size() - 2); // without the empty line
    return head + rest;
}

std::string head_at(place p, const std::string& method, const std::string& rest)
{
    return head_for(path_at(p), method, rest);
}

std::string with_length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Many copies of a short text, to be sent at once.
std::string repeated(const std::string& text, std::size_t times)
{
    std::string out;
    for (std::size_t i = 0; i < times; ++i)
        out += text;
    return out;
}

std::string ordinary_request(place p)
{
    return p == place::routed_path || p == place::path_without_route
               ? standins::request_text("ordinary")
               : head_at(p, "GET", "\r\n");
}

void check_process(gateway_process& gateway, place p, const char* kind)
{
    constexpr std::array names{"routed path", "path without route", "ready",
                               "metrics", "control"};
    const char* const name = names.at(static_cast<std::size_t>(p));
    INFO(kind << " at " << name);
    // What the crowd sent may still be read when it has left, so the bounds are
    // checked after a request has got its turn.
    CHECK(gateway.answers(p, ordinary_request(p)));
    CHECK(gateway.lives());
    CHECK(gateway.peak_resident_kb() < gateway.resident_bound_kb());
    CHECK(gateway.peak_descriptors() < gateway.descriptor_bound());
    std::cout << "callers: " << kind << " at " << name << ": peak "
              << gateway.peak_resident_kb() / 1024 << " MB, "
              << gateway.peak_descriptors() << " descriptors\n";
}

/// Plays the crowd, lets it leave, and checks the process.
void play(place p, const char* kind, const behaviour& b,
          process_limits limits = {})
{
    gateway_process gateway(limits);
    {
        crowd all(gateway.at(p), b);
        all.play(play_time, [&] { gateway.sample_descriptors(); });
    }
    check_process(gateway, p, kind);
}

place any_place()
{
    return GENERATE(place::routed_path, place::path_without_route,
                    place::ready_address, place::metrics_address,
                    place::control_address);
}

place place_of_callers()
{
    return GENERATE(place::routed_path, place::path_without_route);
}

} // namespace

TEST_CASE("A request inside the limits is served in calm", "[callers]")
{
    gateway_process gateway;
    const std::string request =
        standins::call_text({.method = "POST",
                             .path = "/p/x",
                             .id = "largest",
                             .body = std::string(body_limit, 'x'),
                             .time_left_ms = 15000,
                             .adapter = {}});
    CHECK(gateway.answers(place::routed_path, request));
    check_process(gateway, place::routed_path, "largest request in calm");
}

TEST_CASE("Legal bodies that stop one byte short keep the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "bodies one byte short",
         {callers_with_bodies,
          {{head_at(p, "POST", with_length(body_limit))},
           {std::string(block_bytes, 'x'), body_limit / block_bytes - 1},
           {std::string(block_bytes - 1, 'x')}}});
}

TEST_CASE("Legal bodies in small pieces keep the bounds", "[callers]")
{
    const place p = any_place();
    constexpr std::size_t piece = 4096;
    play(p, "bodies in small pieces",
         {callers_with_bodies,
          {{head_at(p, "POST", with_length(body_limit))},
           {std::string(block_bytes, 'x'), body_limit / block_bytes - 1},
           {std::string(block_bytes - 1, 'x')}},
          piece});
}

TEST_CASE("Legal bodies in chunks that don't end keep the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "bodies in chunks",
         {callers_with_bodies,
          {{head_at(p, "POST", chunked)},
           {"ff00\r\n" + std::string(0xff00, 'x') + "\r\n",
            body_limit / 0xff00}}});
}

TEST_CASE("Chunks of one byte keep the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "chunks of one byte",
         {many_callers,
          {{head_at(p, "POST", chunked)}, {repeated("1\r\nx\r\n", 1000), 10}}});
}

TEST_CASE("Bodies far over the limit keep the bounds", "[callers]")
{
    const place p = any_place();
    constexpr std::size_t declared = std::size_t{64} * 1024 * 1024;
    play(p, "bodies over the limit",
         {callers_with_bodies,
          {{head_at(p, "POST", with_length(declared))},
           {std::string(block_bytes, 'x'), 2 * body_limit / block_bytes}}});
}

TEST_CASE("Bodies far over the limit without length keep the bounds",
          "[callers]")
{
    const place p = any_place();
    play(p, "bodies over the limit without length",
         {callers_with_bodies,
          {{head_at(p, "POST", chunked)},
           {"ff00\r\n" + std::string(0xff00, 'x') + "\r\n",
            2 * body_limit / 0xff00}}});
}

TEST_CASE("A chunk that declares 2 GB keeps the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "chunk of 2 GB",
         {callers_with_bodies,
          {{head_at(p, "POST", chunked) + "7fffffff\r\n"},
           {std::string(block_bytes, 'x'), 2 * body_limit / block_bytes}}});
}

TEST_CASE("Heads of very many short fields keep the bounds", "[callers]")
{
    const place p = any_place();
    constexpr std::size_t fields = 4000; // 16,000 bytes
    play(p, "heads of many fields",
         {many_callers,
          {{head_at(p, "POST", repeated("a:\r\n", fields) + with_length(10)) +
            "x"}}});
}

TEST_CASE("Heads of very many short fields that don't end keep the bounds",
          "[callers]")
{
    const place p = any_place();
    constexpr std::size_t fields = 4000;
    play(p, "unfinished heads of many fields",
         {many_callers, {{head_at(p, "POST", repeated("a:\r\n", fields))}}});
}

TEST_CASE("Pipelined requests with unread answers keep the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "pipelined requests",
         {many_callers, {{repeated(head_at(p, "GET", "\r\n"), 1000), 20}}});
}

TEST_CASE("Pipelined requests for large answers keep the bounds", "[callers]")
{
    play(place::routed_path, "pipelined large answers",
         {many_callers, {{repeated(head_for("/p/large", "GET", "\r\n"), 50)}}});
}

TEST_CASE("Slow readers keep the bounds", "[callers]")
{
    play(place::routed_path, "slow readers",
         {many_callers, {{head_for("/p/large", "GET", "\r\n")}}});
}

TEST_CASE("Slow senders keep the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "slow senders",
         {many_callers,
          {{head_at(p, "POST", "A: " + std::string(1000, 'a'))}},
          1,
          20ms});
}

TEST_CASE("Callers that stop half-way keep the bounds", "[callers]")
{
    const place p = any_place();
    const std::string rest =
        GENERATE("Hos", "Content-Length: 1000\r\n\r\nhalf",
                 "Transfer-Encoding: chunked\r\n\r\n1",
                 "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTrailer: x");
    play(p, "stops half-way", {many_callers, {{head_at(p, "POST", rest)}}});
}

TEST_CASE("More connections than descriptors keep the bounds", "[callers]")
{
    const place p = any_place();
    play(p, "more connections than descriptors", {many_callers, {{"G"}}},
         {.descriptors = 400});
}

// Guards against an end of the process, or an event loop that never gets past
// a failing accept, when the system's limit is lower than the settings' limit.
TEST_CASE("A full table of descriptors doesn't end the process", "[callers]")
{
    const place p = place_of_callers();
    gateway_process gateway({.system_descriptors = 200});
    {
        // The requests are complete, and need connections to the target, when
        // the table is full.
        const std::string request = ordinary_request(p);
        crowd all(gateway.at(p),
                  {many_callers,
                   {{request.substr(0, request.size() - 2)}, {"\r\n"}},
                   block_bytes,
                   500ms});
        all.play(play_time, [&] { gateway.sample_descriptors(); });
    }
    check_process(gateway, p, "full table of descriptors");
}

// Guards against connections that are held open and keep all others out.
TEST_CASE("Requests are answered while others hold all connections",
          "[callers]")
{
    const place p = any_place();
    gateway_process gateway({.descriptors = 400});
    crowd all(gateway.at(p), {many_callers, {{"G"}}});
    all.play(play_time, [&] { gateway.sample_descriptors(); });
    check_process(gateway, p, "all connections held");
}
