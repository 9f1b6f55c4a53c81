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
