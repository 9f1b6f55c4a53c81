#include "lovagegate/openai/answer_check.hpp"
#include "lovagegate/openai/completion_request.hpp"
#include "lovagegate/openai/event_parser.hpp"
#include "lovagegate/openai/pages.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::openai;
using nlohmann::json;

namespace {

request_problem problem_of(const std::string& body)
{
    try {
        const completion_request r(completion_kind::chat, body);
    } catch (const request_error& e) {
        return e.problem();
    }
    FAIL("accepted: " << body);
    return {};
}

} // namespace

TEST_CASE("A request keeps all fields but the model", "[openai]")
{
    const completion_request r(
        completion_kind::chat,
        R"({"stream":true,"model":"crew","messages":[{"role":"user",)"
        R"("content":"whistle"}],"temperature":0.5})");
    CHECK(r.model() == "crew");
    CHECK(r.is_stream());
    const auto sent = json::parse(r.body_for("crew@3"));
    CHECK(sent["model"] == "crew@3");
    CHECK(sent["temperature"] == 0.5);
    CHECK(sent["messages"][0]["content"] == "whistle");
}

TEST_CASE("Requests that differ in layout have the same normalized body",
          "[openai]")
{
    const completion_request a(completion_kind::text,
                               R"({"model":"a","prompt":"p","n":1})");
    const completion_request b(completion_kind::text,
                               R"({ "n":1, "prompt":"p", "model":"a" })");
    CHECK(a.normalized_body() == b.normalized_body());
    CHECK(a.prompt_prefix_hash() == b.prompt_prefix_hash());
}

TEST_CASE("Each fault of a body has its type", "[openai]")
{
    CHECK(problem_of("{") == request_problem::not_json);
    CHECK(problem_of("{\"model\":\"\xff\"}") == request_problem::not_json);
    CHECK(problem_of("[]") == request_problem::not_an_object);
    CHECK(problem_of("{}") == request_problem::missing);
    CHECK(problem_of(R"({"model":1})") == request_problem::wrong_type);
    CHECK(problem_of(R"({"model":"a"})") == request_problem::missing);
    CHECK(problem_of(R"({"model":"a","messages":[]})") ==
          request_problem::wrong_type);
    CHECK(problem_of(R"({"model":"a","messages":[{"role":"user"}],)"
                     R"("stream":"yes"})") == request_problem::wrong_type);
    CHECK(problem_of(R"({"a":)" + std::string(100'000, '[')) ==
          request_problem::too_deep);
}

TEST_CASE("Events are the same however the stream is cut", "[openai]")
{
    const std::string stream = "data: {\"a\":1}\n\n: comment\n\n"
                               "event: x\ndata: one\ndata: two\r\n\r\n"
                               "data:[DONE]\n\n";
    const std::vector<std::string> expected{R"({"a":1})", "", "one\ntwo",
                                            "[DONE]"};
    CHECK(rc::check("event_parser", [&] {
        event_parser parser(1000);
        std::vector<std::string> data;
        std::string raw;
        const auto keep = [&](const stream_event& e) {
            data.emplace_back(e.data);
            raw += e.raw;
        };
        std::string_view rest = stream;
        while (!rest.empty()) {
            const auto n = *rc::gen::inRange<std::size_t>(1, 20);
            parser.feed(rest.substr(0, n), keep);
            rest.remove_prefix(std::min(n, rest.size()));
        }
        RC_ASSERT(data == expected);
        RC_ASSERT(raw == stream);
        RC_ASSERT(parser.at_boundary());
    }));
}

TEST_CASE("An event over the size limit is refused", "[openai]")
{
    event_parser parser(100);
    CHECK_THROWS_AS(parser.feed("data: " + std::string(200, 'x'),
                                [](const stream_event&) {}),
                    event_too_large);
}

TEST_CASE("Answers are checked against the model", "[openai]")
{
    CHECK(check_answer(R"({"model":"a@1"})", "a@1") == answer_verdict::matches);
    CHECK(check_answer(R"({"model":"a@2"})", "a@1") ==
          answer_verdict::other_model);
    CHECK(check_answer(R"({"error":{"code":"x"}})", "a@1") ==
          answer_verdict::error_object);
    CHECK(check_answer(R"({"choices":[]})", "a@1") ==
          answer_verdict::malformed);
    CHECK(check_answer("half", "a@1") == answer_verdict::malformed);
    CHECK(is_model_not_found_error(R"({"error":{"code":"model_not_found"}})"));
    CHECK_FALSE(is_model_not_found_error(R"({"error":{"code":7}})"));
}

TEST_CASE("Error bodies have the shape of the API", "[openai]")
{
    const auto body =
        json::parse(error_body({"no \xff text", "not_run", "", "queue_full"}));
    CHECK(body["error"]["type"] == "not_run");
    CHECK(body["error"]["code"] == "queue_full");
    CHECK(body["error"]["param"].is_null());
    const std::vector<std::string> names{"a@1"};
    CHECK(json::parse(model_list(names))["data"][0]["id"] == "a@1");
}
