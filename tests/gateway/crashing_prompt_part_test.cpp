#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <functional>

using namespace lovagegate;
using namespace lovagegate::gateway;
using namespace lovagegate::gateway_test;

namespace {

constexpr std::size_t engines = 4;
constexpr std::string_view crashing_part = "bad0";
const std::string no_body = "Content-Length: 0\r\n";

/// Engines that crash when they begin to answer a prompt with the part, and
/// stream two events for any other.
class crashing_engines
{
public:
    std::vector<site::target_script> scripts()
    {
        std::vector<site::target_script> out;
        for (std::size_t i = 0; i < crashes_.size(); ++i)
            out.push_back(with_warm_up([this, i](const seen_request& r) {
                if (!has_prompt_part(r, crashing_part))
                    return script{{stream_head(r) + event(1), {}, then::go_on},
                                  {event(2), 10ms, then::close}};
                if (r.head.has("X-Wait"))
                    return script{{"", 60s, then::close}};
                if (r.head.has("X-Fail"))
                    return signed_answer(r, 409, "not now");
                ++crashes_.at(i);
                ++total_;
                return script{{"", {}, then::reset}};
            }));
        return out;
    }

    /// Publishes a new run of each engine that has crashed since the last call.
    void restart_crashed(site& s)
    {
        for (std::size_t i = 0; i < crashes_.size(); ++i)
            if (crashes_.at(i).exchange(0) > 0)
                s.publish_restart(i, ++newest_start_);
    }

    [[nodiscard]] int total() const { return total_; }

private:
    std::array<std::atomic<int>, engines> crashes_{};
    std::atomic<int> total_{0};
    std::int64_t newest_start_ = 1;
};

/// Waits until the condition holds, for a bounded time.
bool eventually(const std::function<bool()>& condition)
{
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (!condition() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(10ms);
    return condition();
}

caller::answer ask_with_prompt(site& s, const std::string& id,
                               std::initializer_list<std::string_view> parts)
{
    return s.ask(request_text(id, no_body + prompt_header(parts), "POST"));
}

} // namespace

TEST_CASE("requests that share a prompt part stop reaching engines that it "
          "crashes",
          "[gateway]")
{
    crashing_engines e;
    site s({.kind = "streaming", .resumable = true, .attempts = 1},
           e.scripts());
    constexpr int asks = 14;
    constexpr int crashes_and_further_requests = 5 + 3;
    for (int n = 0; n < asks; ++n) {
        const std::string id = std::to_string(n);
        ask_with_prompt(s, "crash" + id, {"common", crashing_part, "a" + id});
        e.restart_crashed(s);
        std::this_thread::sleep_for(400ms);
        ask_with_prompt(s, "sound" + id, {"common", "other", "b" + id});
    }
    CHECK(e.total() <= crashes_and_further_requests);
    const auto a = ask_with_prompt(s, "last", {"common", "other", "c"});
    CHECK(a.head.status == 200);
    CHECK(a.body == event(1) + event(2));
}

TEST_CASE("a request that waits at an engine is cancelled when a part of its "
          "prompt turns out to crash engines",
          "[gateway]")
{
    crashing_engines e;
    site s({.kind = "streaming", .resumable = true, .attempts = 1},
           e.scripts());
    const std::string waiting_prompt =
        "X-Wait: 1\r\n" + prompt_header({"common", crashing_part, "w"});
    caller waiting(s.callers_port());
    waiting.send(request_text("waiting", no_body + waiting_prompt, "POST"));
    REQUIRE(eventually([&] { return s.runs > 0; }));
    for (int n = 0; n < 3; ++n) {
        const std::string id = std::to_string(n);
        ask_with_prompt(s, "crash" + id, {"common", crashing_part, "a" + id});
        ask_with_prompt(s, "sound" + id, {"common", "other", "b" + id});
        e.restart_crashed(s);
        std::this_thread::sleep_for(400ms);
    }
    const auto a = waiting.read();
    CHECK(a.head.status == 502);
    CHECK_THAT(a.body, Catch::Matchers::Contains("crashes engines"));
    CHECK(eventually([&] { return s.left > 0; }));
}

TEST_CASE(
    "an engine's error answer doesn't show that a prompt part is harmless",
    "[gateway]")
{
    crashing_engines e;
    site s({.kind = "streaming", .resumable = true, .attempts = 1},
           e.scripts());
    constexpr int asks = 10;
    constexpr int crashes_and_further_requests = 5 + 3;
    for (int n = 0; n < asks; ++n) {
        const std::string id = std::to_string(n);
        ask_with_prompt(s, "crash" + id, {"common", crashing_part, "a" + id});
        e.restart_crashed(s);
        std::this_thread::sleep_for(200ms);
        const std::string failing =
            "X-Fail: 1\r\n" +
            prompt_header({"common", crashing_part, "f" + id});
        s.ask(request_text("fail" + id, no_body + failing, "POST"));
        ask_with_prompt(s, "sound" + id, {"common", "other", "b" + id});
    }
    CHECK(e.total() <= crashes_and_further_requests);
}
