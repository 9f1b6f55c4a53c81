#include "platform/http_fields.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::platform_wire;

namespace {

net::message_head request_head()
{
    net::message_head h;
    h.method = "POST";
    h.target = "/a/b?q=1";
    h.headers = {{"Host", "h.example"},
                 {"X-Attempt-Id", "id1"},
                 {"X-Model-Name", "m/a7"},
                 {"X-Token-Counts", "1460,80"},
                 {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                 {"X-Request-Deadline", "12000"},
                 {"Last-Event-Id", "4"},
                 {"Connection", "keep-alive, X-Private"},
                 {"X-Private", "hop"},
                 {"Transfer-Encoding", "chunked"},
                 {"X-Hold-Request", "h"},
                 {"Kv-From", "10.0.0.1:80/1"},
                 {"X-Expected-Instance", "forged"},
                 {"Accept", "text/event-stream"}};
    return h;
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("read_request decodes the platform's request headers",
          "[platform_wire]")
{
    const auto f = read_request(request_head());
    CHECK(f.attempt_id == "id1");
    CHECK(f.model == "m");
    CHECK(f.adapter == "a7");
    CHECK(f.prompt_tokens == 1460);
    CHECK(f.output_tokens == 80);
    CHECK(f.prompt_prefix == "5c1e07a2");
    CHECK(f.own_prompt_part == "91bd3f06");
    CHECK(f.time_left == duration(12s));
    CHECK(f.resume_after == "4");
}

TEST_CASE("read_request decodes the parts of a prompt that may be shared",
          "[platform_wire]")
{
    const auto shared = [](std::string list) {
        net::message_head h;
        h.headers = {{"X-Prompt-Prefix", std::move(list)}};
        return read_request(h).shared_prompt_parts;
    };
    using ids = std::vector<std::string>;
    CHECK(shared("5c1e07a2:800,91bd3f06:410, e4402b7d:250") ==
          ids{"5c1e07a2", "91bd3f06"});
    CHECK(shared("5c1e07a2:800").empty());
    CHECK(shared("").empty());
    CHECK(shared(",:5,").empty());
    std::string many;
    for (int n = 0; n < 1000; ++n)
        many += "a:1,";
    CHECK(shared(many).size() == 64);
}

TEST_CASE("hop-by-hop and system-only headers are not forwarded to a target",
          "[platform_wire]")
{
    gateway::target_fields fields;
    fields.target = "i-1";
    fields.time_left = 900ms;
    fields.priority = 2;
    const auto text = write_target_head(request_head(), fields, 5);
    CHECK(text.starts_with("POST /a/b?q=1 HTTP/1.1\r\n"));
    CHECK(text.ends_with("Content-Length: 5\r\n\r\n"));
    CHECK(contains(text, "X-Attempt-Id: id1\r\n"));
    CHECK(contains(text, "X-Expected-Instance: i-1\r\n"));
    CHECK(contains(text, "X-Request-Deadline: 900\r\n"));
    CHECK(contains(text, "X-Request-Priority: 2\r\n"));
    CHECK(contains(text, "Last-Event-Id: 4\r\n"));
    CHECK(contains(text, "Accept: text/event-stream\r\n"));
    for (const auto* dropped : {"forged", "X-Hold-Request", "Kv-From", "12000",
                                "X-Private", "Transfer-Encoding", "Connection"})
        CHECK_FALSE(contains(text, dropped));
}

TEST_CASE("a resumed stream sends the last forwarded event id to the target",
          "[platform_wire]")
{
    gateway::target_fields fields;
    fields.target = "i-1";
    fields.resume_after = "17";
    const auto text = write_target_head(request_head(), fields, 0);
    CHECK(contains(text, "Last-Event-Id: 17\r\n"));
    CHECK_FALSE(contains(text, "Last-Event-Id: 4\r\n"));
}

TEST_CASE("a response keeps end-to-end headers and replaces the framing",
          "[platform_wire]")
{
    net::message_head h;
    h.status = 200;
    h.headers = {{"X-Server-Seal", "s"},
                 {"Content-Length", "9"},
                 {"Connection", "close"},
                 {"Keep-Alive", "timeout=5"}};
    const auto text = write_answer_head(h, framing::chunked, 0, false);
    CHECK(contains(text, "X-Server-Seal: s\r\n"));
    CHECK(contains(text, "Transfer-Encoding: chunked\r\n"));
    CHECK_FALSE(contains(text, "Content-Length"));
    CHECK_FALSE(contains(text, "Keep-Alive"));
    CHECK_FALSE(contains(text, "Connection"));
    CHECK(contains(write_answer_head(h, framing::length, 9, true),
                   "Connection: close\r\n"));
}

TEST_CASE("read_answer reads whether a request was run, signed and encoded",
          "[platform_wire]")
{
    net::message_head h;
    h.status = 421;
    CHECK(read_answer(h).not_run);
    h.status = 503;
    CHECK_FALSE(read_answer(h).not_run);
    h.headers = {{"x-not-executed", "1"}};
    CHECK(read_answer(h).not_run);
    h.headers = {{"X-Server-Seal", "s"}, {"Content-Encoding", "gzip"}};
    CHECK(read_answer(h).signed_by_target);
    CHECK(read_answer(h).encoded);
}

TEST_CASE("a generated response carries Retry-After and the attempt id",
          "[platform_wire]")
{
    const auto text = write_own_answer(503, "id1", "busy", 250ms, false);
    CHECK(contains(text, "Retry-After: 0.250\r\n"));
    CHECK(contains(text, "X-Attempt-Id: id1\r\n"));
    CHECK(text.ends_with("\r\n\r\nbusy\n"));
}

TEST_CASE("read_answer reads that a target leaves, in any answer",
          "[platform_wire]")
{
    net::message_head h;
    for (const int status : {200, 421, 500, 503}) {
        h.status = status;
        h.headers = {};
        CHECK_FALSE(read_answer(h).target_leaves);
        h.headers = {{"server-leaving", "1"}};
        CHECK(read_answer(h).target_leaves);
        CHECK_FALSE(read_answer(h).has_malformed_notice);
    }
}

TEST_CASE("a malformed Server-Leaving is ignored and noticed",
          "[platform_wire]")
{
    const std::string value = GENERATE(
        values<std::string>({"", "0", "2", "yes", "1, 1", "-1", "11111111"}));
    CAPTURE(value);
    net::message_head h;
    h.status = 200;
    h.headers = {{"Server-Leaving", value}};
    CHECK_FALSE(read_answer(h).target_leaves);
    CHECK(read_answer(h).has_malformed_notice);
}

TEST_CASE("read_answer reads Retry-After of a 503 in seconds and fractions",
          "[platform_wire]")
{
    const auto pause = [](int status, std::string value) {
        net::message_head h;
        h.status = status;
        h.headers = {{"Retry-After", std::move(value)}};
        CHECK_FALSE(read_answer(h).has_malformed_notice);
        return read_answer(h).accepts_again_after;
    };
    CHECK(pause(503, "3") == duration(3s));
    CHECK(pause(503, "0.25") == duration(250ms));
    CHECK(pause(503, "0") == duration(0));
    CHECK(pause(503, "60") == duration(60s));
    // Rounded up, so that nothing is sent too early.
    CHECK(pause(503, "0.0000001") == duration(1us));
    CHECK_FALSE(pause(429, "3"));
    CHECK_FALSE(pause(200, "nonsense"));
    net::message_head none;
    none.status = 503;
    CHECK_FALSE(read_answer(none).accepts_again_after);
}

TEST_CASE("a malformed Retry-After is ignored and noticed", "[platform_wire]")
{
    const std::string value = GENERATE(values<std::string>(
        {"", "-1", "-0.5", "+1", "x", "1s", "1 2", "nan", "inf", "1e1",
         "60.001", "86400", "Fri, 31 Dec 1999 23:59:59 GMT",
         std::string(400, '9'), "0." + std::string(400, '1') + "x"}));
    CAPTURE(value);
    net::message_head h;
    h.status = 503;
    h.headers = {{"Retry-After", value}, {"Server-Leaving", "1"}};
    CHECK_FALSE(read_answer(h).accepts_again_after);
    CHECK(read_answer(h).has_malformed_notice);
    CHECK(read_answer(h).target_leaves);
}

TEST_CASE("read_answer reads the limit that a target names, in any answer",
          "[platform_wire]")
{
    const int status = GENERATE(200, 421, 503);
    const auto [text, limit] =
        GENERATE(table<std::string, double>({{"1.3", 1.3},
                                             {"0", 0},
                                             {"0.0", 0},
                                             {"250", 250},
                                             {"1000000000000", 1e12}}));
    net::message_head h;
    h.status = status;
    h.headers = {{"Server-Limit", text}};
    CHECK(read_answer(h).request_limit == limit);
    CHECK_FALSE(read_answer(h).has_malformed_limit);
    h.headers.clear();
    CHECK_FALSE(read_answer(h).request_limit);
}

TEST_CASE("a malformed limit is ignored and noticed", "[platform_wire]")
{
    const std::string value = GENERATE(values<std::string>(
        {"", "-1", "nan", "inf", "few", "1.5x", "1, 2", "1e3", "0x10"}));
    CAPTURE(value);
    net::message_head h;
    h.status = 200;
    h.headers = {{"Server-Limit", value}};
    CHECK_FALSE(read_answer(h).request_limit);
    CHECK(read_answer(h).has_malformed_limit);
    h.headers = {{"Server-Limit", "1"}, {"server-limit", "2"}};
    CHECK_FALSE(read_answer(h).request_limit);
    CHECK(read_answer(h).has_malformed_limit);
}
