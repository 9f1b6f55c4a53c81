#include "lovagegate/net/http_message.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate::net;

namespace {

struct parse_result
{
    std::string body;
    message_reader::progress last;
    std::size_t used = 0;
};

parse_result read_all(message_reader& reader, std::string_view text,
                      std::size_t step = std::string_view::npos)
{
    parse_result p;
    while (!text.empty()) {
        const auto part = text.substr(0, step);
        p.last = reader.read(
            part, [](message_head&) {},
            [&](std::string_view b) { p.body += b; });
        p.used += p.last.used;
        if (p.last.complete || p.last.failure != parse_failure::none)
            return p;
        text.remove_prefix(part.size());
    }
    return p;
}

} // namespace

TEST_CASE("a message parses the same for every size of its parts", "[net]")
{
    const std::string text = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n6\r\n world\r\n0\r\nT: x\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        message_reader reader(message_reader::kind::requests, 4096);
        const auto p = read_all(reader, text, step);
        REQUIRE(p.last.complete);
        CHECK(p.used == text.size());
        CHECK(p.body == "hello world");
        CHECK(reader.head().method == "POST");
        CHECK(reader.head().target == "/a?b");
        CHECK(reader.head().headers.size() == 2);
    }
}

TEST_CASE("bytes after a message are not consumed", "[net]")
{
    message_reader reader(message_reader::kind::responses, 4096);
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const auto p = read_all(reader, first + "HTTP/1.1 500 No\r\n");
    CHECK(p.last.complete);
    CHECK(p.used == first.size());
    CHECK(p.body == "ab");
}

TEST_CASE("a response without a length ends with its connection", "[net]")
{
    message_reader reader(message_reader::kind::responses, 4096);
    const auto p = read_all(reader, "HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK_FALSE(p.last.complete);
    CHECK(p.body == "abc");
    CHECK(reader.end_of_data());

    message_reader truncated(message_reader::kind::responses, 4096);
    read_all(truncated, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    CHECK_FALSE(truncated.end_of_data());
}

TEST_CASE("malformed and request smuggling input is refused", "[net]")
{
    const auto text = GENERATE(
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\x01\r\n\r\n", "rubbish\r\n\r\n");
    CAPTURE(text);
    message_reader reader(message_reader::kind::requests, 4096);
    CHECK(read_all(reader, text).last.failure == parse_failure::malformed);
}

TEST_CASE("a head over the size limit is refused", "[net]")
{
    message_reader reader(message_reader::kind::requests, 100);
    const auto p =
        read_all(reader, "GET / HTTP/1.1\r\nA: " + std::string(400, 'x'), 10);
    CHECK(p.last.failure == parse_failure::head_too_large);
}

TEST_CASE("arbitrary bytes can be read without a crash", "[net]")
{
    CHECK(rc::check([](const std::string& bytes) {
        for (const auto kind : {message_reader::kind::requests,
                                message_reader::kind::responses}) {
            message_reader reader(kind, 4096);
            read_all(reader, bytes, 7);
        }
    }));
}

// Guards against a chunk over the limit whose bytes are taken in before it is
// refused.
TEST_CASE("a chunk over the limit fails when its size is read", "[net]")
{
    const auto failure_of = [](const std::string& chunks) {
        message_reader reader(message_reader::kind::requests, 4096);
        const std::string text = "POST / HTTP/1.1\r\nHost: h\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 chunks;
        return reader
            .read(
                text, [&](message_head&) { reader.limit_body(8); },
                [](std::string_view) {})
            .failure;
    };
    CHECK(failure_of("8\r\n") == parse_failure::none);
    CHECK(failure_of("9\r\n") == parse_failure::body_too_large);
    CHECK(failure_of("5\r\nhello\r\n3\r\n") == parse_failure::none);
    CHECK(failure_of("5\r\nhello\r\n4\r\n") == parse_failure::body_too_large);
    CHECK(failure_of("7fffffff\r\n") == parse_failure::body_too_large);
}
