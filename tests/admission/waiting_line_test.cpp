#include "lovagegate/admission/waiting_line.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

using namespace lovagegate;
using namespace lovagegate::admission;

namespace {

constexpr time_point start(100s);

waiting_request request(std::uint64_t id, std::uint32_t priority,
                        duration objective, std::uint64_t workspace = 1,
                        std::uint64_t kind = 1, time_point now = start)
{
    return {id,  priority,        workspace,           kind,
            now, now + objective, now + objective + 2s};
}

/// Refuses and serves a load on one server of 1 / per_second a request.
struct played_load
{
    std::map<std::uint64_t, double> asked; ///< by flow
    std::map<std::uint64_t, double> served;
    [[nodiscard]] double share(std::uint64_t f) const
    {
        const auto s = served.find(f);
        return s == served.end() ? 0 : s->second / asked.at(f);
    }
    [[nodiscard]] double share_of_all() const
    {
        double a = 0;
        double s = 0;
        for (const auto& [f, n] : asked)
            a += n;
        for (const auto& [f, n] : served)
            s += n;
        return s / a;
    }
};

struct flow_demand
{
    std::uint64_t workspace;
    std::uint64_t kind;
    std::uint32_t priority;
    double per_second;
    double surge;
};

constexpr double served_per_second = 300;

/// @param flow_of what is counted as one flow
template <typename FlowOf>
played_load play(const std::vector<flow_demand>& demands, FlowOf flow_of,
                 duration usual_time = 60s, duration surge_time = 20s)
{
    std::mt19937_64 random(7);
    waiting_line line;
    played_load out;
    std::uint64_t id = 0;
    std::map<std::uint64_t, std::uint64_t> flow_by_id;
    time_point next_service = start;
    const time_point surge_from = start + usual_time;
    const time_point end = surge_from + surge_time;
    for (time_point now = start; now < end; now += 2ms) {
        const bool surge = now >= surge_from;
        for (const auto& d : demands) {
            const double rate = d.per_second * (surge ? d.surge : 1);
            auto arrivals =
                std::poisson_distribution<int>(rate * 0.002)(random);
            for (; arrivals > 0; --arrivals) {
                flow_by_id[++id] = flow_of(d);
                if (surge)
                    ++out.asked[flow_of(d)];
                (void)line.add(
                    request(id, d.priority, 150ms, d.workspace, d.kind, now),
                    served_per_second, now);
            }
        }
        (void)line.expire(served_per_second, now);
        next_service = std::max(next_service, now);
        while (next_service <= now + 2ms && line.size() > 0) {
            const auto next = line.take_next(now);
            if (surge && next->arrived >= surge_from)
                ++out.served[flow_by_id[next->id]];
            next_service += from_seconds(1 / served_per_second);
        }
    }
    return out;
}

} // namespace

// Guards against a queue in the order of arrival, where urgent requests become
// late behind those that have time.
TEST_CASE("priority, then time left to the objective decide the order",
          "[admission]")
{
    waiting_line line;
    CHECK(line.add(request(1, 5, 100ms), 1000, start).empty());
    CHECK(line.add(request(2, 0, 300ms), 1000, start).empty());
    CHECK(line.add(request(3, 0, 200ms), 1000, start).empty());
    CHECK(line.take_next(start)->id == 3);
    CHECK(line.take_next(start)->id == 2);
    CHECK(line.take_next(start)->id == 1);
    CHECK_FALSE(line.take_next(start));
}

// Guards against refusing an urgent request in favour of one that can wait.
TEST_CASE("the least urgent request is refused if one would be late",
          "[admission]")
{
    waiting_line line;
    CHECK(line.add(request(1, 5, 150ms), 10, start).empty());
    const auto refused = line.add(request(2, 0, 150ms), 10, start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().id == 1);
    CHECK(refused.front().reason == refusal_reason::overload);
    CHECK(line.take_next(start)->id == 2);
}

// Guards against holding a request until its deadline.
TEST_CASE("a request that can't begin before its deadline is refused at once",
          "[admission]")
{
    waiting_line line;
    waiting_request r = request(1, 0, -2500ms);
    const auto refused = line.add(r, 10, start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().reason == refusal_reason::deadline);
}

// Guards against late requests that take the place of those still in time, and
// against late ones that are refused although nothing else waits.
TEST_CASE("a late request is served only while none in time waits",
          "[admission]")
{
    waiting_line line;
    CHECK(line.add(request(1, 0, -10ms), 100, start).empty());
    CHECK(line.add(request(2, 9, 100ms), 100, start).empty());
    const auto refused = line.add(request(3, 0, -10ms), 100, start);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().reason == refusal_reason::late);
    CHECK(line.take_next(start)->id == 2);
    CHECK(line.take_next(start)->id == 1);
}

// Guards against a late request that waits for its deadline while the targets
// are busy with others.
TEST_CASE("a late request waits for a bounded time", "[admission]")
{
    waiting_line line;
    CHECK(line.add(request(1, 0, -10ms), 100, start).empty());
    CHECK(line.expire(100, start + 50ms).empty());
    const auto refused = line.expire(100, start + 150ms);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().reason == refusal_reason::late);
    CHECK(line.size() == 0);
}

// Guards against a workspace with six times its demand that takes the service
// of the others, and against cutting it off altogether.
TEST_CASE("a workspace bears the cost of its own surge", "[admission]")
{
    std::vector<flow_demand> demands;
    for (std::uint64_t w = 1; w <= 16; ++w)
        demands.push_back({w, 1, 1, w == 8 ? 30.0 : 16.0, w == 8 ? 6.0 : 1.0});
    const auto got = play(demands, [](const auto& d) { return d.workspace; });
    CAPTURE(got.share_of_all(), got.share(8));
    for (std::uint64_t w = 1; w <= 16; ++w)
        if (w != 8) {
            CAPTURE(w);
            CHECK(got.share(w) > 0.9);
        }
    CHECK(got.share(8) > 0.25 * got.share_of_all());
    CHECK(got.share_of_all() > 0.68); // 300 of 420 are 0.71
}

// Guards against a kind with 2.4 times its demand that takes the service of
// the other kind.
TEST_CASE("a kind bears the cost of its own surge", "[admission]")
{
    const std::vector<flow_demand> demands{{1, 1, 1, 160, 2.4},
                                           {1, 2, 1, 37, 1}};
    const auto got = play(demands, [](const auto& d) { return d.kind; });
    CAPTURE(got.share(1), got.share(2));
    CHECK(got.share(2) > 0.9);
    CHECK(got.share(1) > 0.6); // 263 of 384 are 0.68
}

// Guards against strict priority that leaves nothing to the less urgent kind,
// and against a less urgent kind that is served more often than an urgent one.
TEST_CASE("a less urgent kind gets a part of the service", "[admission]")
{
    const std::vector<flow_demand> demands{{1, 1, 0, 420, 1}, {1, 2, 5, 40, 1}};
    const auto got = play(demands, [](const auto& d) { return d.kind; });
    CAPTURE(got.share(1), got.share(2), got.share_of_all());
    CHECK(got.share(2) > 0.25 * got.share_of_all());
    CHECK(got.share(1) > got.share(2));
}

// Guards against requests that are lost or decided twice, and against waiting
// requests that can't be in time, for any order of events.
TEST_CASE("each request is served, refused or removed once", "[admission]")
{
    rc::check([] {
        waiting_line line;
        std::set<std::uint64_t> open;
        std::uint64_t id = 0;
        time_point now = start;
        const double rate = *rc::gen::inRange(1, 400);
        const auto forget = [&](const auto& refused) {
            for (const auto& r : refused)
                RC_ASSERT(open.erase(r.id) == 1U);
        };
        const int steps = *rc::gen::inRange(1, 100);
        for (int i = 0; i < steps; ++i) {
            now += duration(*rc::gen::inRange(0, 20'000));
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
            case 1:
            case 2:
                open.insert(++id);
                forget(line.add(
                    request(id, *rc::gen::inRange<std::uint32_t>(0, 3),
                            duration(*rc::gen::inRange(-50'000, 300'000)),
                            *rc::gen::inRange<std::uint64_t>(0, 3),
                            *rc::gen::inRange<std::uint64_t>(1, 3), now),
                    rate, now));
                break;
            case 3:
                if (const auto next = line.take_next(now))
                    RC_ASSERT(open.erase(next->id) == 1U);
                break;
            default:
                forget(line.expire(rate, now));
                if (!open.empty() && *rc::gen::arbitrary<bool>()) {
                    RC_ASSERT(line.remove(*open.begin()));
                    open.erase(open.begin());
                }
            }
            RC_ASSERT(line.size() == open.size());
        }
    });
}
