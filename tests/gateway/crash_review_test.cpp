#include "lovagegate/gateway/crash_reports.hpp"
#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <memory>

using namespace lovagegate;
using namespace lovagegate::gateway;
using crashes::crash_traits;
using namespace lovagegate::gateway_test;

namespace {

using parts = std::vector<fingerprint>;

constexpr fingerprint common = 1;
constexpr fingerprint bad = 2;

/// Instances whose messages arrive when the test delivers them.
class fleet
{
public:
    explicit fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            all_.push_back(std::make_unique<crash_reports>(
                counts_,
                crash_reports::callbacks{
                    [this, i, count](const peer_message& m) {
                        for (std::size_t to = 0; to < count; ++to)
                            if (to != i)
                                mail_.push_back({i, to, m});
                    },
                    [this, i](const std::string& to, const peer_message& m) {
                        mail_.push_back({i, std::stoul(to), m});
                    },
                    [](const peer_message&) {}, [] {}, [i] { return i; }}));
    }

    crash_reports& at(std::size_t i) { return *all_.at(i); }

    void deliver()
    {
        for (auto& r : all_)
            r->send_notices();
        while (!mail_.empty()) {
            const sent_message l = std::move(mail_.front());
            mail_.pop_front();
            if (lose)
                continue;
            const auto m = decode(encode(l.message));
            REQUIRE(m);
            if (const auto* notice = std::get_if<crash_notice>(&*m))
                at(l.to).on_message(*notice, now);
            if (const auto* answered = std::get_if<answered_prompt_parts>(&*m))
                at(l.to).on_message(*answered, now);
            if (const auto* blocked = std::get_if<blocked_prompt_parts>(&*m))
                at(l.to).on_message(std::to_string(l.from), *blocked, now);
        }
    }

    [[nodiscard]] std::size_t blocking(const parts& prompt) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(all_, [&](const auto& r) {
                return r->verdict({999, 999, prompt}, now) !=
                       crash_verdict::harmless;
            }));
    }

    /// An engine crashes under these requests of instance 0, which finds that
    /// it refuses connections.
    void crash(std::span<const crash_traits> requests)
    {
        const std::string run = next_run();
        for (const auto& r : requests)
            at(0).on_connection_broken(r, run, false, now);
        deliver();
        now += 10ms;
        at(0).on_connection_refused(run, now);
        deliver();
        now += 500ms;
    }

    std::string next_run() { return "e" + std::to_string(++crashes_) + "@1"; }

    /// @return a request that differs from all others
    crash_traits request(parts prompt)
    {
        ++requests_;
        return {requests_, requests_, std::move(prompt)};
    }

    time_point now{100s};
    bool lose = false;

private:
    struct sent_message
    {
        std::size_t from;
        std::size_t to;
        peer_message message;
    };

    counters counts_;
    std::vector<std::unique_ptr<crash_reports>> all_;
    std::deque<sent_message> mail_;
    fingerprint requests_ = 1000;
    int crashes_ = 0;
};

const std::string no_body = "Content-Length: 0\r\n";

} // namespace

TEST_CASE("a prompt part that engines have answered is not blocked together "
          "with the one that crashes them",
          "[gateway]")
{
    fleet f(1);
    for (int n = 0; n < 50; ++n) {
        f.at(0).on_answered(f.request({common}), f.now);
        f.now += 100ms;
    }
    SECTION("if both were in the same crashes")
    {
        for (int n = 0; n < 3; ++n)
            f.crash(std::array{f.request({common, bad})});
    }
    SECTION("if it was in one crash more")
    {
        f.crash(std::array{f.request({common})});
        for (int n = 0; n < 3; ++n)
            f.crash(std::array{f.request({common, bad})});
    }
    CHECK(f.blocking({bad}) == 1);
    CHECK(f.blocking({common}) == 0);
}

TEST_CASE("a prompt part that crashes engines is blocked after connections of "
          "many others broke",
          "[gateway]")
{
    constexpr fingerprint first_other = 100000;
    constexpr fingerprint others = 10000;
    fleet f(1);
    for (fingerprint n = 0; n < others; n += 50) {
        crash_traits reset = f.request({});
        for (fingerprint p = n; p < n + 50; ++p)
            reset.prompt_parts.push_back(first_other + p);
        f.at(0).on_connection_broken(reset, "living@1", false, f.now);
    }
    f.now += 60s;
    f.at(0).expire(f.now);
    for (int n = 0; n < 5; ++n)
        f.crash(std::array{f.request({common, bad})});
    CHECK(f.blocking({bad}) == 1);
}

TEST_CASE("all instances block a prompt part if one finds that an engine "
          "refuses connections before it is told of the broken ones",
          "[gateway]")
{
    fleet f(8);
    for (int n = 0; n < 5; ++n) {
        const std::string run = f.next_run();
        f.at(0).on_connection_broken(f.request({common, bad}), run, false,
                                     f.now);
        f.at(7).on_connection_refused(run, f.now);
        f.deliver();
        f.now += 500ms;
    }
    CHECK(f.blocking({bad}) == 8);
}

TEST_CASE("crashes that a crashing request explains are held against no part "
          "of its prompt",
          "[gateway]")
{
    fleet f(1);
    const crash_traits crashing = f.request({common});
    f.crash(std::array{crashing, f.request({common})});
    f.crash(std::array{crashing});
    f.crash(std::array{crashing});
    CHECK(f.at(0).verdict(crashing, f.now) != crash_verdict::harmless);
    CHECK(f.blocking({common}) == 0);
}

TEST_CASE("an instance that knows of an answer between the crashes doesn't "
          "adopt the block of one that missed it",
          "[gateway]")
{
    fleet f(2);
    for (int n = 0; n < 3; ++n) {
        f.crash(std::array{f.request({common})});
        if (n == 2)
            break;
        f.lose = true;
        f.at(1).on_answered(f.request({common}), f.now);
        f.deliver();
        f.lose = false;
        f.now += 100ms;
    }
    REQUIRE(f.blocking({common}) == 1);
    f.at(0).repeat("1", f.now);
    f.deliver();
    CHECK(f.blocking({common}) == 0);
}

TEST_CASE("a blocked part whose last crash lies in the future is ignored",
          "[gateway]")
{
    fleet f(1);
    for (const duration age : {duration(-24h), duration::min()})
        f.at(0).on_message("1", blocked_prompt_parts{{{bad, age, age}}}, f.now);
    CHECK(f.blocking({bad}) == 0);
}

TEST_CASE("a crash counts although another connection to the engine broke long "
          "before it",
          "[gateway]")
{
    fleet f(1);
    for (int n = 0; n < 3; ++n) {
        const std::string run = f.next_run();
        f.at(0).on_connection_broken(f.request({common}), run, false, f.now);
        f.now += 14900ms;
        f.at(0).on_connection_broken(f.request({common, bad}), run, false,
                                     f.now);
        f.now += 200ms;
        f.at(0).expire(f.now);
        f.at(0).on_run_ended(run, f.now);
    }
    CHECK(f.blocking({bad}) == 1);
}

TEST_CASE("a prompt part that crashes all engines within a short time is "
          "blocked before they are back",
          "[gateway]")
{
    fleet f(1);
    for (int n = 0; n < 50; ++n) {
        f.at(0).on_answered(f.request({common}), f.now);
        f.now += 100ms;
    }
    for (int n = 0; n < 9; ++n) {
        const std::string run = f.next_run();
        f.at(0).on_connection_broken(f.request({common, bad}), run, false,
                                     f.now);
        f.at(0).on_connection_refused(run, f.now + 10ms);
        f.now += 20ms;
    }
    f.now += 3s;
    CHECK(f.blocking({bad}) == 1);
    CHECK(f.blocking({common}) == 0);
}

TEST_CASE("an engine that crashes after the first event of a stream without a "
          "length has not answered it",
          "[gateway]")
{
    std::atomic<int> crashes{0};
    site s({.kind = "streaming", .resumable = true, .attempts = 1},
           {with_warm_up([&](const seen_request& r) {
               if (!has_prompt_part(r, "bad0"))
                   return script{{stream_head(r) + event(1), {}, then::go_on},
                                 {event(2), 10ms, then::close}};
               ++crashes;
               return script{{stream_head(r) + event(1), {}, then::go_on},
                             {"", 10ms, then::close}};
           })});
    std::int64_t start = 1;
    for (int n = 0; n < 8; ++n) {
        const std::string id = std::to_string(n);
        const int before = crashes;
        s.ask(request_text("crash" + id,
                           no_body + prompt_header({"common", "bad0", id}),
                           "POST"));
        if (crashes > before)
            s.publish_restart(0, ++start);
        std::this_thread::sleep_for(300ms);
    }
    CHECK(crashes <= 5);
}
