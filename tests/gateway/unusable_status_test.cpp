#include "lovagegate/gateway/short_call.hpp"
#include "tests/gateway/site_fixture.hpp"

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

/// @param status three digits
script answer_with(const seen_request& r, const std::string& status)
{
    auto answer = signed_answer(r, 200, "body");
    std::string& bytes = answer.front().bytes;
    bytes.replace(bytes.find("200"), 3, status);
    return answer;
}

const std::string unusable_statuses[] = {"000", "099", "600", "999",
                                         "101", "100", "199"};

} // namespace

TEST_CASE("an answer with a status that isn't one of a final answer doesn't "
          "reach the caller, and its request counts as possibly run",
          "[gateway]")
{
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               return answer_with(r, attempt_id(r));
           })});
    for (const auto& status : unusable_statuses) {
        CAPTURE(status);
        const auto a =
            s.ask(request_text(status, "Content-Length: 0\r\n", "POST"));
        CHECK(a.head.status == 502);
        CHECK(attempt_id(a.head) == status);
    }
    CHECK(s.runs == std::ssize(unusable_statuses));
    CHECK(s.metric("sends_failed_total{reason=\"not_an_answer\"}") ==
          std::size(unusable_statuses));
}

TEST_CASE("an idempotent request goes to another target after an answer with "
          "an unusable status",
          "[gateway]")
{
    site s(
        {.kind = "idempotent"},
        {with_warm_up([](const seen_request& r) {
             return expected_target(r) == "i-0" ? answer_with(r, attempt_id(r))
                                                : signed_answer(r, 200, "fine");
         }),
         [](const seen_request& r) { return signed_answer(r, 200, "fine"); }});
    for (const auto& status : unusable_statuses)
        CHECK(s.ask(request_text(status)).body == "fine");
}

TEST_CASE("an interim answer is skipped", "[gateway]")
{
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               auto answer = signed_answer(r, 200, "fine");
               answer.front().bytes.insert(
                   0, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints"
                      "\r\nLink: </a>\r\n\r\n");
               return answer;
           })});
    CHECK(s.ask(request_text("id1", "Content-Length: 0\r\n", "POST")).body ==
          "fine");
}

TEST_CASE("a short call with an unusable status has no answer", "[gateway]")
{
    // Orders, reports, probes and the store's answers are read by short calls.
    net::event_loop loop;
    scripted_server server(loop, [](const seen_request& r) {
        return answer_with(r, r.head.target.substr(1));
    });
    gateway::target_pool pool(loop);
    for (const auto& status : unusable_statuses) {
        CAPTURE(status);
        gateway::target_request request;
        request.target = "t";
        request.address = {"127.0.0.1", server.port()};
        request.head = "GET /" + status + " HTTP/1.1\r\nHost: h\r\n\r\n";
        std::optional<gateway::short_call::result> result;
        gateway::short_call call(
            loop, pool, request, 2, 5s, 1000,
            [&](const gateway::short_call::result& r) { result = r; });
        while (!result)
            loop.run_once();
        CHECK(result->status == 0);
        CHECK_FALSE(result->head_received);
        CHECK(result->failure == gateway::call_failure::not_an_answer);
    }
}
