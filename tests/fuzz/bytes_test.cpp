#include "lovagegate/core/error.hpp"
#include "lovagegate/engine/order_request.hpp"
#include "lovagegate/engine/report_parser.hpp"
#include "lovagegate/history/json_lines.hpp"
#include "lovagegate/openai/answer_check.hpp"
#include "lovagegate/openai/completion_request.hpp"
#include "lovagegate/openai/event_parser.hpp"
#include "lovagegate/platform/replies.hpp"
#include "lovagegate/settings/load.hpp"
#include "lovagegate/ticket/ticket_book.hpp"
#include "lovagegate/wire/codec.hpp"
#include "lovagegate/wire/session.hpp"
#include "tests/fuzz/byte_mutator.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace lovagegate;

namespace {

/// Damaged texts for each sample; tools/fuzz.sh asks for more.
constexpr int default_rounds = 1500;

int rounds()
{
    const char* text = std::getenv("LOVAGEGATE_FUZZ_ROUNDS");
    return text == nullptr ? default_rounds : std::stoi(text);
}

std::uint64_t seed()
{
    const char* text = std::getenv("LOVAGEGATE_FUZZ_SEED");
    return text == nullptr ? 20261204 : std::stoull(text);
}

const std::string settings_sample = R"([instance]
name = entry-1
failure-domain = rijeka-a
listen = 127.0.0.1:8080
peer-listen = [::1]:8081
[platform]
config-address = 127.0.0.1:8500
list-address = 127.0.0.1:8500
[peers]
key-file = key
[pool]
lease-ttl = 4500ms
[limits]
body-bytes = 64KiB
)";

/// A parser takes the sample, and of damaged ones throws only our errors.
template <typename Parse>
void attack(const std::string& sample, Parse parse)
{
    REQUIRE_NOTHROW(parse(sample));
    fuzz::byte_mutator damage(seed());
    for (int round = 0; round < rounds(); ++round) {
        const std::string text = damage(sample);
        try {
            parse(text);
        } catch (const error&) {
        } catch (const std::exception& other) {
            FAIL("round " << round << ": " << other.what() << "\n" << text);
        }
    }
}

} // namespace

TEST_CASE("damaged settings are refused by a typed error", "[fuzz]")
{
    attack(settings_sample, [](const std::string& text) {
        (void)settings::parse(text, "f.ini");
    });
}

TEST_CASE("damaged engine pages are refused by a typed error", "[fuzz]")
{
    const target_id engine{"e1"};
    const std::string models =
        R"({"object":"list","data":[{"id":"base","object":"model"},)"
        R"({"id":"signs-ml@3","object":"model","parent":"base"}]})";
    const std::string metrics =
        "# TYPE vllm:num_requests_running gauge\n"
        "vllm:num_requests_running{model_name=\"base\"} 2.0\n"
        "vllm:num_requests_waiting{model_name=\"base\"} 1.0\n"
        "vllm:lora_requests_info{running_lora_adapters=\"signs-ml@3\","
        "waiting_lora_adapters=\"\",max_lora=\"4\"} 1.7e9\n"
        "engine_incarnation 7\nfencing_token 12\n";
    attack(models, [&](const std::string& text) {
        (void)engine::parse_report(engine, text, metrics);
    });
    attack(metrics, [&](const std::string& text) {
        (void)engine::parse_report(engine, models, text);
    });
}

TEST_CASE("damaged answers to orders are judged, not thrown", "[fuzz]")
{
    const std::string refusal =
        R"({"error":{"message":"stale","code":"stale_token","highest":12}})";
    attack(refusal, [](const std::string& text) {
        (void)engine::refused_token(text);
        for (const int status : {200, 400, 404, 409, 500}) {
            (void)engine::judge_order_answer({}, status, text);
        }
    });
}

TEST_CASE("damaged platform answers are refused by a typed error", "[fuzz]")
{
    attack(R"([{"Key":"tickets/1","Value":"eyJ0aWNrZXQiOjF9",)"
           R"("ModifyIndex":4}])",
           [](const std::string& text) {
               (void)platform::parse_tickets(4, text);
           });
    attack(R"([{"Service":{"ID":"i1","Address":"127.0.0.1","Port":8000,)"
           R"("Meta":{"peer_port":"9000","failure_domain":"a",)"
           R"("phase":"live"}}}])",
           [](const std::string& text) {
               (void)platform::parse_instances(4, text);
           });
}

TEST_CASE("a damaged ticket is refused whole", "[fuzz]")
{
    const std::string sample =
        R"({"ticket":7,"services":{"drafts":{"group":"engines",)"
        R"("routes":[{"method":"GET","path":"/r","idempotent":true}]}},)"
        R"("adapters":{"a":{"model":"base","versions":["2","1"],)"
        R"("services":["drafts"]},"b":null},)"
        R"("targets":{"e1":{"group":"engines","kind":"engine",)"
        R"("address":"127.0.0.1","port":9000,"failure_domain":"d",)"
        R"("model":"base","slots":4,"state":"serving"}},)"
        R"("stores":{"s":{"loads_per_second":4}}})";
    counters count;
    attack(sample, [&count](const std::string& text) {
        ticket::ticket_book book(count);
        const auto outcome = book.apply(text);
        if (outcome.result == ticket::apply_result::refused) {
            CHECK(book.revision() == 0);
            CHECK(book.digest().highest == 0);
        }
    });
}

TEST_CASE("damaged messages are refused by a typed error", "[fuzz]")
{
    const std::vector<protocol::message> samples{
        protocol::lease_request{.id = 4,
                                .pool = pool_id("p"),
                                .adapter = {"a", "1"},
                                .excluded = {target_id("e1")}},
        protocol::lease_renewal{pool_id("p"),
                                {{4, target_id("e1"), {"a", "1"}, 7}}},
        protocol::ticket_push{{R"({"ticket":1})"}},
        protocol::claim_answer{4, protocol::claim_verdict::done,
                               protocol::stored_answer{200, "t", "body"}},
        protocol::suspicion_push{{{7, target_id("e1"), 3}}}};
    for (const protocol::message& m : samples) {
        attack(wire::encode(m), [](const std::string& text) {
            if (const auto back = wire::decode(text)) {
                (void)wire::encode(*back);
            }
        });
    }
    attack(wire::encode(wire::hello{1, {instance_id("i1"), 2}, "00ff"}),
           [](const std::string& text) { (void)wire::decode_hello(text); });
}

TEST_CASE("a changed frame never passes for a message", "[fuzz]")
{
    const std::string nonce_a(32, 'a');
    const std::string nonce_b(32, 'b');
    const wire::shared_key key("0123456789abcdef0123456789abcdef");
    const std::string frame = [&] {
        wire::session a(wire::end::dialer, {instance_id("a"), 1}, key, nonce_a);
        wire::session b(wire::end::acceptor, {instance_id("b"), 1}, key,
                        nonce_b);
        (void)a.receive(b.hello_frame());
        return a.seal(protocol::suspicion_push{{{7, target_id("e1"), 3}}});
    }();
    attack(frame, [&](const std::string& text) {
        wire::session a(wire::end::dialer, {instance_id("a"), 1}, key, nonce_a);
        wire::session b(wire::end::acceptor, {instance_id("b"), 1}, key,
                        nonce_b);
        (void)b.receive(a.hello_frame());
        const wire::reception got = b.receive(text);
        CHECK(got.what == wire::received::message);
        CHECK(text == frame);
    });
}

TEST_CASE("damaged bodies of callers are refused by a typed error", "[fuzz]")
{
    using openai::completion_kind;
    using openai::completion_request;
    attack(R"({"model":"signs-ml@3","stream":true,"messages":[)"
           R"({"role":"user","content":"Gr\u00fc\u00dfe"}]})",
           [](const std::string& text) {
               const completion_request r(completion_kind::chat, text);
               const completion_request again(completion_kind::chat,
                                              r.body_for(r.model()));
               CHECK(again.normalized_body() == r.normalized_body());
           });
    attack(R"({"model":"signs-ml","prompt":"a","max_tokens":5})",
           [](const std::string& text) {
               const completion_request r(completion_kind::text, text);
               CHECK_FALSE(r.model().empty());
           });
}

TEST_CASE("damaged answers of engines are judged, not thrown", "[fuzz]")
{
    attack(R"({"id":"c1","model":"signs-ml@3","choices":[{"text":"a"}]})",
           [](const std::string& text) {
               (void)openai::check_answer(text, "signs-ml@3");
               (void)openai::is_model_not_found_error(text);
           });
}

TEST_CASE("an event stream parses alike in parts of any size", "[fuzz]")
{
    const auto events = [](const std::string& text, std::size_t part) {
        openai::event_parser parser(1024 * 1024);
        std::vector<std::string> found;
        for (std::size_t at = 0; at < text.size(); at += part) {
            parser.feed(std::string_view(text).substr(at, part),
                        [&found](const openai::stream_event& e) {
                            found.emplace_back(e.data);
                        });
        }
        return found;
    };
    attack("data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\n: note\n\n"
           "data: [DONE]\n\n",
           [&events](const std::string& text) {
               const auto whole = events(text, text.size() + 1);
               CHECK(events(text, 1) == whole);
               CHECK(events(text, 7) == whole);
           });
}

TEST_CASE("damaged history lines are refused by a typed error", "[fuzz]")
{
    const history::event sample{5ms,
                                history::answered{instance_id("i1"),
                                                  1,
                                                  2,
                                                  request_id("r1"),
                                                  request_outcome::completed,
                                                  refusal::none,
                                                  request_id("r1"),
                                                  {"signs-ml", "3"},
                                                  true}};
    attack(history::to_line(sample), [](const std::string& text) {
        (void)history::to_line(history::from_line(text));
    });
}
