#include "tests/gateway/site_fixture.hpp"

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

site_description with_limit(double rate_per_s)
{
    site_description d;
    d.workspaces = {{"a", "key-a"}, {"b", "key-b", {}, rate_per_s}};
    return d;
}

/// Waits until the instance has an answer of the coordinator, which is itself;
/// until then it admits an equal part only.
void await_first_answer(const site& s)
{
    while (s.metric("quota_reports_answered_total") == 0)
        std::this_thread::sleep_for(10ms);
}

const std::string tokens_of_b = "{workspace=\"b\"}";

} // namespace

// Guards against a limit of the configuration that isn't applied, is applied to
// other workspaces, or refuses without telling when to return.
TEST_CASE("requests above a workspace's limit get 429 and never run",
          "[gateway]")
{
    site s(with_limit(2), {with_warm_up([](const seen_request& r) {
               return signed_answer(r, 200, "");
           })});
    await_first_answer(s);
    constexpr int sent = 60;
    int served = 0;
    const auto runs_before = s.runs.load();
    for (int i = 0; i < sent; ++i) {
        const auto a =
            s.ask(request_text("id" + std::to_string(i), key_header("key-b")));
        served += a.head.status == 200 ? 1 : 0;
        if (a.head.status == 200)
            continue;
        REQUIRE(a.head.status == 429);
        CHECK(std::stod(std::string(a.head.header("Retry-After"))) >= 0.7);
    }
    // 2 a second for 8 s, the burst, and a quarter more.
    CHECK(served >= 16);
    CHECK(served <= 22);
    CHECK(s.runs - runs_before == served);
    CHECK(s.metric("quota_tokens_admitted_total" + tokens_of_b) == served);
    CHECK(s.metric("quota_tokens_refused_total" + tokens_of_b) ==
          sent - served);
    CHECK(s.ask(request_text("id", key_header("key-a"))).head.status == 200);
}

// Guards against requests that no target ran and that still use up the limit.
TEST_CASE("a workspace gets back what no target ran", "[gateway]")
{
    site s(with_limit(2), {with_warm_up([](const seen_request& r) {
               return not_run(r, 503);
           })});
    await_first_answer(s);
    constexpr int sent = 40;
    for (int i = 0; i < sent; ++i)
        CHECK(s.ask(request_text("id" + std::to_string(i), key_header("key-b")))
                  .head.status == 503);
    CHECK(s.metric("quota_tokens_given_back_total" + tokens_of_b) == sent);
}
