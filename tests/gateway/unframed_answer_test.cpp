#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::gateway;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";

/// Asks a site whose only target sends an answer without a length or chunks.
/// @param kind of the route
/// @param last what the target does to the connection after the body
caller::answer ask_unframed(const char* kind, const std::string& body,
                            then last)
{
    site s({.kind = kind, .attempts = 1},
           {with_warm_up([=](const seen_request& r) {
               return script{{stream_head(r) + body, {}, then::go_on},
                             {"", 50ms, last}};
           })});
    return s.ask(request_text("id1", no_body, "POST"));
}

} // namespace

TEST_CASE("an answer without a length is whole if its connection ends in order",
          "[gateway]")
{
    const auto whole = ask_unframed("idempotent", "hours", then::close);
    CHECK(whole.complete);
    CHECK(whole.head.status == 200);
    CHECK(whole.body == "hours");
    const auto cut = ask_unframed("idempotent", "hours", then::reset);
    CHECK(cut.head.status == 502);
}

TEST_CASE("a stream without a length is whole if its connection ends in order "
          "after an event",
          "[gateway]")
{
    const auto whole =
        ask_unframed("streaming", event(1) + event(2), then::close);
    CHECK(whole.complete);
    CHECK(whole.body == event(1) + event(2));
    const auto within_event =
        ask_unframed("streaming", event(1) + "id: 2\nda", then::close);
    CHECK_FALSE(within_event.complete);
    CHECK(within_event.body == event(1));
    const auto reset =
        ask_unframed("streaming", event(1) + event(2), then::reset);
    CHECK_FALSE(reset.complete);
}

TEST_CASE("an answer whose head breaks off anywhere is not a success",
          "[gateway]")
{
    struct broken_head
    {
        std::string framing;
        int status = 0;
        std::size_t cut_at = 0;
    };
    broken_head next; // read by the target while the caller waits
    std::size_t head_size = 0;
    site s(
        {.kind = "non_idempotent"}, {with_warm_up([&](const seen_request& r) {
            if (r.head.has("X-Whole"))
                return signed_answer(r, 200, "fine");
            const std::string head = "HTTP/1.1 " + std::to_string(next.status) +
                                     " OK\r\n" + id_header(attempt_id(r)) +
                                     signature_header() + next.framing + "\r\n";
            head_size = head.size();
            return script{{head.substr(0, next.cut_at), {}, then::close}};
        })});
    for (const std::string method : {"POST", "HEAD"})
        for (const int status : {200, 204})
            for (const char* framing :
                 {"Content-Length: 0\r\n", "Content-Length: 4\r\n", "",
                  "Transfer-Encoding: chunked\r\n"}) {
                next = {framing, status, 0};
                do {
                    const std::string id = std::to_string(next.cut_at);
                    const bool on_kept_connection = next.cut_at % 2 == 1;
                    if (on_kept_connection)
                        s.ask(request_text("whole" + id,
                                           no_body + "X-Whole: 1\r\n", "POST"));
                    const auto a =
                        s.ask(request_text("cut" + id, no_body, method));
                    CAPTURE(method, status, framing, next.cut_at, a.body);
                    CHECK(a.head.status == 502);
                } while (++next.cut_at < head_size);
            }
}
