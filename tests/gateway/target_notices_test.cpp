#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <mutex>
#include <utility>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";
/// Longer than a target that leaves is a last resort: half of the drain limit
/// of 2 s.
constexpr duration past_last_resort = 1100ms;

/// Requests by the target that they were sent to. The scripts run on another
/// thread than the test.
class request_log
{
public:
    void add(const seen_request& r)
    {
        const std::lock_guard lock(mutex_);
        all_.emplace_back(expected_target(r), net::event_loop::now().mono);
    }

    [[nodiscard]] std::size_t count() const
    {
        const std::lock_guard lock(mutex_);
        return all_.size();
    }

    [[nodiscard]] std::size_t count(const std::string& target) const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(std::ranges::count(
            all_, target, &std::pair<std::string, time_point>::first));
    }

    /// @return target of the first request
    [[nodiscard]] std::string first() const
    {
        const std::lock_guard lock(mutex_);
        return all_.empty() ? "" : all_.front().first;
    }

    /// @return time between two successive requests
    [[nodiscard]] duration gap_before(std::size_t index) const
    {
        const std::lock_guard lock(mutex_);
        return all_.at(index).second - all_.at(index - 1).second;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::pair<std::string, time_point>> all_;
};

script good(const seen_request& r)
{
    return signed_answer(r, 200, "fine");
}

script whole_stream(const seen_request& r)
{
    return {{stream_head(r) + event(1), {}, then::go_on},
            {event(2), 2ms, then::close}};
}

double retry_after_s(const caller::answer& a)
{
    return std::strtod(std::string(a.head.header("Retry-After")).c_str(),
                       nullptr);
}

} // namespace

TEST_CASE("no further request is sent to a target whose answer says that it "
          "leaves while another one serves",
          "[gateway]")
{
    const std::string kind = GENERATE(
        values<std::string>({"idempotent", "non_idempotent", "streaming"}));
    const bool store_down = GENERATE(false, true);
    CAPTURE(kind, store_down);
    request_log log;
    const auto target = with_warm_up([&](const seen_request& r) {
        log.add(r);
        auto answer = kind == "streaming" ? whole_stream(r) : good(r);
        return log.first() == expected_target(r)
                   ? with_header(std::move(answer), leaving_header())
                   : answer;
    });
    site s({.kind = kind}, {target, target});
    if (store_down)
        s.change([](platform_store& store) { store.set_down(true); });
    const std::string body =
        kind == "streaming" ? event(1) + event(2) : std::string("fine");
    for (int i = 0; i < 12; ++i) {
        const auto a =
            s.ask(request_text("id" + std::to_string(i), no_body, "POST"));
        CHECK(a.complete);
        CHECK(a.body == body);
    }
    CHECK(log.count(log.first()) == 1);
    CHECK(log.count() == 12);
}

TEST_CASE(
    "the only target gets no request once the time for a leaving target "
    "is over, although its entry calls it live and settings are read again",
    "[gateway]")
{
    request_log log;
    site s({.kind = "non_idempotent"}, {with_warm_up([&](const auto& r) {
               log.add(r);
               return with_header(good(r), leaving_header());
           })});
    const auto ask = [&] {
        return s.ask(request_text("id1", no_body, "POST")).head.status;
    };
    CHECK(ask() == 200);
    CHECK(ask() == 200);     // as the last resort
    s.publish_restart(0, 1); // the same start again
    s.reload();
    std::this_thread::sleep_for(past_last_resort);
    CHECK(ask() == 503);
    CHECK(log.count() == 2);
    s.publish_restart(0, 2);
    const auto end = std::chrono::steady_clock::now() + max_wait;
    while (ask() != 200 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(20ms);
    CHECK(ask() == 200);
}

TEST_CASE("a target that lacks an adapter and leaves gets no request once the "
          "time for a leaving target is over",
          "[gateway]")
{
    request_log log;
    site s({.kind = "non_idempotent"}, {with_warm_up([&](const auto& r) {
               log.add(r);
               return with_header(misdirected(r), leaving_header());
           })});
    CHECK(s.ask(request_text("id1", no_body, "POST")).head.status == 503);
    std::this_thread::sleep_for(past_last_resort);
    const auto sends = log.count();
    CHECK(s.ask(request_text("id2", no_body, "POST")).head.status == 503);
    CHECK(log.count() == sends);
}

TEST_CASE("a leaving target's stream is delivered to its end", "[gateway]")
{
    site s({.kind = "streaming"},
           {with_warm_up([](const seen_request& r) -> script {
               return with_header({{stream_head(r) + event(1), {}, then::go_on},
                                   {event(2), past_last_resort, then::go_on},
                                   {event(3), 10ms, then::close}},
                                  leaving_header());
           })});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2) + event(3));
}

TEST_CASE("a target that refuses a request with Retry-After gets nothing "
          "during that time, and requests after it",
          "[gateway]")
{
    const std::string kind = GENERATE(
        values<std::string>({"idempotent", "non_idempotent", "streaming"}));
    CAPTURE(kind);
    request_log log;
    site s({.kind = kind}, {with_warm_up([&](const seen_request& r) {
               log.add(r);
               if (log.count() == 1)
                   return pausing_answer(r, "1.2");
               return kind == "streaming" ? whole_stream(r) : good(r);
           })});
    const auto ask = [&] {
        return s.ask(request_text("id1", no_body, "POST"));
    };
    const auto first = ask();
    CHECK(first.head.status == 503);
    CHECK(retry_after_s(first) > 1.1);
    CHECK(retry_after_s(first) < 2.2);
    const auto end = std::chrono::steady_clock::now() + max_wait;
    while (ask().head.status != 200 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(20ms);
    REQUIRE(log.count() == 2);
    CHECK(log.gap_before(1) >= 1200ms);
}

TEST_CASE("requests go to another target while one pauses", "[gateway]")
{
    request_log log;
    const auto target = with_warm_up([&](const seen_request& r) {
        log.add(r);
        return log.first() == expected_target(r) ? pausing_answer(r, "20")
                                                 : good(r);
    });
    site s({.kind = "non_idempotent"}, {target, target});
    // Longer than a full target is avoided.
    constexpr duration past_full_backoff = 200ms;
    for (int i = 0; i < 12; ++i) {
        CHECK(s.ask(request_text("id1", no_body, "POST")).head.status == 200);
        std::this_thread::sleep_for(past_full_backoff);
    }
    CHECK(log.count(log.first()) == 1);
}

TEST_CASE("a request is refused until the first target takes requests again "
          "if all pause",
          "[gateway]")
{
    request_log log;
    const auto target = with_warm_up([&](const seen_request& r) {
        log.add(r);
        return pausing_answer(r, log.count() == 1 ? "9" : "4");
    });
    site s({.kind = "non_idempotent"}, {target, target});
    for (int i = 0; i < 2; ++i) {
        const auto a = s.ask(request_text("id1", no_body, "POST"));
        CHECK(a.head.status == 503);
        CHECK(retry_after_s(a) > 3.5);
        CHECK(retry_after_s(a) < 5);
    }
    CHECK(log.count() == 2);
}

TEST_CASE("a refused request is told the usual time if its deadline is before "
          "the end of the pause",
          "[gateway]")
{
    site s({.kind = "non_idempotent"}, {with_warm_up([](const seen_request& r) {
               return pausing_answer(r, "30");
           })});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.head.status == 503);
    CHECK(retry_after_s(a) < 1);
}

TEST_CASE("a stream that broke off is resumed after the pause of its target",
          "[gateway]")
{
    request_log log;
    site s({.kind = "streaming", .resumable = true},
           {with_warm_up([&](const seen_request& r) -> script {
               log.add(r);
               switch (log.count()) {
               case 1:
                   return {{stream_head(r) + event(1), {}, then::go_on},
                           {"", 5ms, then::reset}};
               case 2:
                   return pausing_answer(r, "1.2");
               default:
                   return {{stream_head(r) + event(2), {}, then::close}};
               }
           })});
    const auto a = s.ask(request_text("id1", no_body, "POST"));
    CHECK(a.complete);
    CHECK(a.body == event(1) + event(2));
    REQUIRE(log.count() == 3);
    CHECK(log.gap_before(2) >= 1200ms);
}

TEST_CASE("a stream isn't resumed at a target whose time to leave is over",
          "[gateway]")
{
    request_log log;
    const auto target = with_warm_up([&](const seen_request& r) -> script {
        log.add(r);
        if (log.count() == 1)
            return with_header(whole_stream(r), leaving_header());
        if (resume_after(r).empty())
            return {{stream_head(r) + event(1), {}, then::go_on},
                    {"", 5ms, then::reset}};
        return {{stream_head(r) + event(2), {}, then::close}};
    });
    site s({.kind = "streaming", .resumable = true}, {target, target});
    for (int i = 0; i < 2; ++i) {
        const auto a = s.ask(request_text("id1", no_body, "POST"));
        CHECK(a.complete);
        CHECK(a.body == event(1) + event(2));
        std::this_thread::sleep_for(past_last_resort);
    }
    CHECK(log.count(log.first()) == 1);
}

TEST_CASE("an answer that isn't the target's own, or of another request, "
          "doesn't take the target out of use",
          "[gateway]")
{
    const bool other_request = GENERATE(true, false);
    CAPTURE(other_request);
    request_log log;
    site s(
        {.kind = "idempotent"}, {with_warm_up([&](const seen_request& r) {
            log.add(r);
            if (log.count() > 1)
                return good(r);
            if (!other_request)
                return with_header(unsigned_answer(r, "no"), leaving_header());
            auto both =
                with_header({{signed_bytes("other", 200, ""), {}, then::go_on}},
                            leaving_header());
            both.front().bytes += good(r).front().bytes;
            return both;
        })});
    (void)s.ask(request_text("id1"));
    std::this_thread::sleep_for(past_last_resort);
    CHECK(s.ask(request_text("id2")).head.status == 200);
}

TEST_CASE("a target with a malformed Retry-After stays in use", "[gateway]")
{
    request_log log;
    site s({.kind = "non_idempotent"}, {with_warm_up([&](const auto& r) {
               log.add(r);
               return log.count() == 1 ? pausing_answer(r, "1e9") : good(r);
           })});
    CHECK(s.ask(request_text("id1", no_body, "POST")).head.status == 503);
    CHECK(s.ask(request_text("id2", no_body, "POST")).head.status == 200);
}

TEST_CASE("a request that waits for an adapter leaves an engine that says "
          "that it leaves or pauses, and no adapter is loaded there",
          "[gateway]")
{
    const bool leaves = GENERATE(true, false);
    CAPTURE(leaves);
    std::atomic<int> loads{0};
    std::atomic<bool> notice{false};
    site s({.kind = "non_idempotent", .engines = true},
           {with_warm_up([&](const seen_request& r) -> script {
               if (is_report(r))
                   return report_answer(R"(["a0@1"])");
               if (is_order(r)) {
                   ++loads;
                   return {{whole_answer(409, {}, ""), {}, then::go_on}};
               }
               if (!asks_for(r, "a0"))
                   return misdirected(r);
               if (!notice)
                   return good(r);
               return leaves ? with_header(good(r), leaving_header())
                             : pausing_answer(r, "20");
           })});
    const auto text = [](const std::string& adapter) {
        return request_text("id1", no_body + adapter_header(adapter), "POST");
    };
    while (s.ask(text("a0")).head.status != 200)
        std::this_thread::sleep_for(20ms);
    caller waiting(s.callers_port());
    waiting.send(text("a1"));
    while (loads == 0)
        std::this_thread::sleep_for(5ms);
    notice = true;
    const auto since = std::chrono::steady_clock::now();
    CHECK(s.ask(text("a0")).head.status == (leaves ? 200 : 503));
    const int loads_before = loads;
    CHECK(waiting.read().head.status == 503);
    // Without the notice it waits for 7.5 s.
    CHECK(std::chrono::steady_clock::now() - since < 3s);
    std::this_thread::sleep_for(600ms);
    // An order may have been on its way.
    CHECK(loads <= loads_before + 1);
}
