#include "lovagegate/engine/order_request.hpp"
#include "lovagegate/engine/report_parser.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::engine;

namespace {

const char* const models =
    R"({"object":"list","data":[{"id":"base"},{"id":"crew@2"},{"id":"hull@1"}]})";

const char* const metrics =
    "# HELP vllm:num_requests_running Running requests.\n"
    "vllm:num_requests_running{model_name=\"base\"} 3.0\n"
    "vllm:num_requests_waiting{model_name=\"base\"} 1\n"
    "vllm:lora_requests_info{max_lora=\"4\",running_lora_adapters="
    "\"crew@2,quay@1\",waiting_lora_adapters=\"hull@1\"} 1.7e9\n"
    "engine_incarnation 17\n"
    "fencing_token 5\n";

} // namespace

TEST_CASE("parse_report combines /v1/models and /metrics", "[engine]")
{
    const auto r = parse_report(target_id{"e1"}, models, metrics);
    CHECK(r.running == 3);
    CHECK(r.waiting == 1);
    CHECK(r.start == 17);
    CHECK(r.highest_token == 5);
    REQUIRE(r.resident.size() == 3);
    CHECK(r.resident[0].running == 1);
    CHECK(r.resident[1].waiting == 1);
    // In use, but not listed by /v1/models.
    CHECK(r.resident[2].adapter == adapter_version{"quay", "1"});
}

TEST_CASE("a malformed page throws report_error", "[engine]")
{
    const target_id e{"e1"};
    CHECK_THROWS_AS(parse_report(e, "<html>", metrics), report_error);
    CHECK_THROWS_AS(parse_report(e, R"({"data":[{"id":7}]})", metrics),
                    report_error);
    CHECK_THROWS_AS(parse_report(e, models, "vllm:num_requests_running -1\n"),
                    report_error);
    CHECK_NOTHROW(parse_report(e, models, "vllm:broken{x= 1\n{}\n}{ 2\n"));
}

TEST_CASE("judge_order_answer maps responses to order outcomes", "[engine]")
{
    node::order_engine order;
    order.adapter = {"crew", "2"};
    CHECK(make_order_request(order).path == "/v1/load_lora_adapter");
    CHECK(judge_order_answer(order, 400, "crew@2 has already been loaded.") ==
          node::order_end::done);
    CHECK(judge_order_answer(order, 500, "no weights") ==
          node::order_end::failed);
    CHECK(judge_order_answer(order, 409, R"({"highest_fencing_token":9})") ==
          node::order_end::stale_token);
}
