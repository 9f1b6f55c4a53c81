#include "tests/gateway/site_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <mutex>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::gateway_test;

namespace {

const std::string no_body = "Content-Length: 0\r\n";
/// What the platform's operators set: from this long after the first notice, in
/// any such span at most one and a half times the limit and five requests more.
constexpr duration stable_window = 3s;
constexpr duration judged_span = 4s;
constexpr double allowed_share = 1.5;
constexpr double allowed_extra = 5;

/// Times at which requests reached the target.
class arrivals
{
public:
    void add()
    {
        const std::lock_guard lock(mutex_);
        times_.push_back(net::event_loop::now().mono);
    }

    [[nodiscard]] std::size_t count() const
    {
        const std::lock_guard lock(mutex_);
        return times_.size();
    }

    /// @return largest number in the judged span, from the end of the stable
    ///         window after the first
    [[nodiscard]] double most_in_span() const
    {
        const std::lock_guard lock(mutex_);
        std::size_t most = 0;
        for (auto from = times_.begin(); from != times_.end(); ++from) {
            if (*from < times_.front() + stable_window)
                continue;
            const auto to =
                std::upper_bound(from, times_.end(), *from + judged_span);
            most = std::max(most, static_cast<std::size_t>(to - from));
        }
        return static_cast<double>(most);
    }

private:
    mutable std::mutex mutex_;
    std::vector<time_point> times_;
};

/// Asks again and again for some time.
/// @return answers by their status
std::map<int, int> ask_often(site& s, duration for_time)
{
    std::map<int, int> answers;
    const auto end = std::chrono::steady_clock::now() + for_time;
    for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
        ++answers[s.ask(request_text("id" + std::to_string(n), no_body, "POST"))
                      .head.status];
        std::this_thread::sleep_for(30ms);
    }
    return answers;
}

} // namespace

TEST_CASE("a target gets no more requests than the limit that it names",
          "[gateway]")
{
    constexpr double limit = 2;
    const std::string kind = GENERATE(
        values<std::string>({"idempotent", "non_idempotent", "streaming"}));
    CAPTURE(kind);
    arrivals seen;
    site s({.kind = kind}, {with_warm_up([&](const seen_request& r) {
               seen.add();
               auto answer =
                   kind == "streaming"
                       ? script{{stream_head(r) + event(1), {}, then::go_on},
                                {event(2), 2ms, then::close}}
                       : signed_answer(r, 200, "fine");
               return with_header(std::move(answer), limit_header("2.0"));
           })});
    const auto answers = ask_often(s, stable_window + judged_span + 1s);
    CHECK(seen.most_in_span() <=
          allowed_share * limit * to_seconds(judged_span) + allowed_extra);
    CHECK(answers.at(200) > 1);
    CHECK(answers.at(503) > 1);
}

TEST_CASE("requests go to another target while one limits them", "[gateway]")
{
    std::array<std::atomic<int>, 2> seen{};
    const auto target = [&](std::size_t i) {
        return with_warm_up([&seen, i](const seen_request& r) {
            ++seen.at(i);
            auto answer = signed_answer(r, 200, "fine");
            return i == 0 ? with_header(std::move(answer), limit_header("0.5"))
                          : answer;
        });
    };
    site s({.kind = "non_idempotent"}, {target(0), target(1)});
    const auto answers = ask_often(s, 3s);
    CHECK(answers.size() == 1);
    CHECK(answers.contains(200));
    CHECK(seen[0] <= 5);
    CHECK(seen[1] > seen[0]);
}

TEST_CASE("a request is refused at once while its only target's limit has no "
          "room",
          "[gateway]")
{
    site s({.kind = "non_idempotent"}, {with_warm_up([](const auto& r) {
               return with_header(signed_answer(r, 200, "fine"),
                                  limit_header("0"));
           })});
    s.ask(request_text("first", no_body, "POST"));
    const auto a = s.ask(request_text("second", no_body, "POST"));
    CHECK(a.head.status == 503);
    const double wait_s =
        std::strtod(std::string(a.head.header("Retry-After")).c_str(), nullptr);
    CHECK(wait_s >= 5);
    CHECK(wait_s <= 5.5);
}

TEST_CASE("a limit ends with an answer that names none", "[gateway]")
{
    std::atomic<int> limited{1};
    site s({.kind = "idempotent"}, {with_warm_up([&](const auto& r) {
               auto answer = signed_answer(r, 200, "fine");
               return limited-- > 0
                          ? with_header(std::move(answer), limit_header("2"))
                          : answer;
           })});
    const auto end = std::chrono::steady_clock::now() + max_wait;
    const auto ask = [&](int n) {
        return s.ask(request_text("id" + std::to_string(n), no_body, "POST"))
            .head.status;
    };
    CHECK(ask(0) == 200);
    CHECK(ask(1) == 503);
    int n = 2;
    while (ask(n) != 200 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(20ms), ++n;
    for (int more = 0; more < 10; ++more)
        CHECK(ask(++n) == 200);
}

TEST_CASE("an answer that isn't the target's own, or a malformed limit, limits "
          "nothing",
          "[gateway]")
{
    const std::string kind =
        GENERATE(values<std::string>({"malformed", "unsigned"}));
    site s({.kind = "idempotent"}, {with_warm_up([&](const seen_request& r) {
               if (kind == "malformed")
                   return with_header(signed_answer(r, 200, "fine"),
                                      limit_header("-1"));
               return r.head.has("X-Bad")
                          ? with_header(unsigned_answer(r, "fine"),
                                        limit_header("0"))
                          : signed_answer(r, 200, "fine");
           })});
    s.ask(request_text("bad", no_body + "X-Bad: 1\r\n", "POST"));
    for (int n = 0; n < 5; ++n)
        CHECK(s.ask(request_text("id" + std::to_string(n), no_body, "POST"))
                  .head.status == 200);
}

TEST_CASE("a refusal that names no limit doesn't end it", "[gateway]")
{
    constexpr double limit = 2;
    std::atomic<int> seen{0};
    site s({.kind = "non_idempotent"}, {with_warm_up([&](const auto& r) {
               return seen++ == 0 ? with_header(signed_answer(r, 200, "fine"),
                                                limit_header("2"))
                                  : not_run(r, 503);
           })});
    ask_often(s, 3s);
    CHECK(seen <=
          allowed_share * limit * to_seconds(judged_span) + allowed_extra);
}
