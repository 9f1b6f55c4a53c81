#include "tests/gateway/site_fixture.hpp"

using namespace lovagegate;
using namespace lovagegate::gateway_test;

TEST_CASE("a refusal made before a request's head is whole doesn't bear the id "
          "of the request before",
          "[gateway]")
{
    site s({.kind = "idempotent"}, {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "");
           })});
    const auto [begun, status] = GENERATE(table<std::string, int>(
        {{"GET /p/x HTTP/1.1\r\nHost: h\r\n", 408},
         {"GET /p/x HTTP/1.1\r\nHost h\r\n\r\n", 400},
         {"GET /p/x HTTP/1.1\r\nX: " + std::string(80'000, 'x'), 431}}));
    caller c(s.callers_port());
    c.send(request_text("before"));
    CHECK(attempt_id(c.read().head) == "before");
    c.send(begun);
    const auto refusal = c.read();
    CHECK(refusal.head.status == status);
    CHECK(attempt_id(refusal.head).empty());
}
