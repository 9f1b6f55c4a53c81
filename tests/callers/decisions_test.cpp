#include "lovagegate/callers/caller_account.hpp"
#include "lovagegate/callers/connection_limits.hpp"
#include "lovagegate/callers/deadlines.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace {

using namespace lovagegate;
using namespace lovagegate::callers;

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;
constexpr time_point start{std::chrono::hours(1)};

/// One connection that releases what it holds when it is closed.
struct connection
{
    connection(caller_account& account, const std::string& address)
        : member(account, address, start, [this](eviction why) {
              closed = why;
              member.hold_anyway(0);
          })
    {
    }
    std::optional<eviction> closed;
    caller_account::member member;
};

} // namespace

// Guards against a crowd of large bodies that takes the room of ordinary
// requests.
TEST_CASE("Large holdings leave room for small ones", "[callers]")
{
    caller_account account(limits_for_process(120 * mb, 100));
    std::vector<std::unique_ptr<connection>> all;
    for (int i = 0; i < 20; ++i) {
        all.push_back(std::make_unique<connection>(account, "a"));
        all.back()->member.set_stage(stage::receiving, start);
        CHECK(all.back()->member.hold(4 * mb, start) == (i < 5));
    }
    connection small(account, "a");
    CHECK(small.member.hold(16 * kb, start));
}

// Guards against bodies that stop short and keep others out, and against
// closing callers on slow networks for them.
TEST_CASE("What hardly moves is closed first", "[callers]")
{
    caller_account account(limits_for_process(120 * mb, 100));
    connection slow(account, "a");
    connection trickling(account, "a");
    connection answering(account, "a");
    for (auto* const c : {&slow, &trickling, &answering}) {
        c->member.set_stage(stage::receiving, start);
        REQUIRE(c->member.hold(6 * mb, start));
    }
    answering.member.set_stage(stage::answering, start);
    for (duration t = 0s; t <= 5s; t += 100ms) {
        slow.member.on_progress(8 * kb, start + t);
        trickling.member.on_progress(1, start + t);
    }
    connection next(account, "b");
    next.member.set_stage(stage::receiving, start + 5s);
    CHECK(next.member.hold(6 * mb, start + 5s));
    CHECK(trickling.closed == eviction::memory);
    CHECK(!slow.closed);
    CHECK(!answering.closed);
    connection another(account, "b");
    CHECK(!another.member.hold(6 * mb, start + 5s));
}

// Guards against one address that takes all connections, and against closing
// another caller's connection for it.
TEST_CASE("An address closes its own connections", "[callers]")
{
    caller_account account(limits_for_process(120 * mb, 4));
    connection other(account, "b");
    connection first(account, "a");
    connection second(account, "a");
    CHECK(account.admit("a", start));
    connection third(account, "a");
    CHECK(!account.admit("a", start));
    CHECK(account.admit("a", start + 3s));
    CHECK(!other.closed);
    CHECK((first.closed || second.closed || third.closed));
}

TEST_CASE("Descriptors are left for targets and peers", "[callers]")
{
    for (const std::size_t descriptors : {200U, 2875U, 3900U, 10050U}) {
        const auto l = limits_for_descriptors(descriptors, 1U << 20U);
        CHECK(l.callers + 3 * (l.page_server + l.page_server / 4) <
              descriptors);
    }
    CHECK(limits_for_descriptors(2875, 200).callers < 120);
}

// Guards against a byte now and then that extends a time limit, and against a
// limit that a slow network can't meet.
TEST_CASE("Time limits bind callers that trickle", "[callers]")
{
    constexpr duration head = 3s;
    CHECK(overdue_part({3s, false, 0, false}, head) == overdue::nothing);
    CHECK(overdue_part({4s, false, 0, false}, head) == overdue::head);
    CHECK(overdue_part({4s, false, 0, true}, head) == overdue::nothing);
    CHECK(overdue_part({7s, false, 0, true}, head) == overdue::head);
    CHECK(overdue_part({16s, true, 100, false}, head) == overdue::body);
    CHECK(overdue_part({40s, true, 4 * mb, false}, head) == overdue::nothing);
    CHECK(overdue_part({90s, true, 4 * mb, false}, head) == overdue::body);
    CHECK(delivery_timeout(15s, 16 * kb) == 16s);
}
