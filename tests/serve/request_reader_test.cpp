#include "lovagegate/serve/refusal_page.hpp"
#include "lovagegate/serve/request_reader.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lovagegate;
using namespace lovagegate::serve;

namespace {

net::http_request completion(std::string path)
{
    net::http_request r;
    r.method = "POST";
    r.path = std::move(path);
    r.body = R"({"model":"crew@2","messages":[{"role":"user"}]})";
    return r;
}

checked_request accepted(const net::http_request& r)
{
    auto read = read_request(r);
    REQUIRE(std::holds_alternative<checked_request>(read));
    return std::get<checked_request>(std::move(read));
}

} // namespace

TEST_CASE("A service is named by prefix or header", "[serve]")
{
    auto r = completion("/s/summaries/v1/chat/completions");
    auto checked = accepted(r);
    CHECK(checked.core_request.service == service_id("summaries"));
    CHECK(checked.core_request.completion);
    CHECK(checked.core_request.model == "crew@2");
    r = completion("/v1/chat/completions");
    r.headers["x-lovagegate-service"] = "summaries";
    CHECK(accepted(r).core_request.print == checked.core_request.print);
}

TEST_CASE("Requests to different services have different fingerprints",
          "[serve]")
{
    CHECK(accepted(completion("/s/a/v1/chat/completions")).core_request.print !=
          accepted(completion("/s/b/v1/chat/completions")).core_request.print);
}

TEST_CASE("Headers that cannot be read are refused", "[serve]")
{
    const auto [name, value] = GENERATE(
        table<std::string, std::string>({{"x-priority", "urgent"},
                                         {"x-deadline-ms", "soon"},
                                         {"x-deadline-ms", "-1"},
                                         {"x-request-issued", "1e9"},
                                         {"x-request-id", "two words"}}));
    auto r = completion("/v1/chat/completions");
    r.headers[name] = value;
    const auto read = read_request(r);
    const auto* fault = std::get_if<request_fault>(&read);
    REQUIRE(fault);
    CHECK(fault->reason == refusal::malformed_request);
    CHECK(fault->param == name);
}

TEST_CASE("The path of a plain call cannot carry another request", "[serve]")
{
    net::http_request r;
    r.method = "GET";
    r.path = "/roster/x HTTP/1.1\r\nEvil: 1";
    const auto checked = accepted(r);
    CHECK(checked.target_path == "/roster/x%20HTTP/1.1%0D%0AEvil:%201");
}

TEST_CASE("A refusal states its outcome in status, header and body", "[serve]")
{
    const auto page = refusal_page({.outcome = request_outcome::not_run,
                                    .reason = refusal::queue_full,
                                    .retry_after = 1500ms});
    CHECK(page.status == 429);
    CHECK(nlohmann::json::parse(page.body)["error"]["type"] == "not_run");
    CHECK(page.headers[1].value == "not_run");
    CHECK(page.headers[2].value == "2");
    const auto unknown = refusal_page(
        {.outcome = request_outcome::unknown, .reason = refusal::none});
    CHECK(unknown.status == 502);
    CHECK(nlohmann::json::parse(unknown.body)["error"]["type"] ==
          "outcome_unknown");
}
