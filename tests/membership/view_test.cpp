#include "lovagegate/membership/contact_ages.hpp"
#include "lovagegate/membership/view.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::membership;
using protocol::phase;

namespace {

instance_id id_of(int i)
{
    return instance_id("i" + std::to_string(i));
}

wall_time wall(duration t)
{
    return wall_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(t + 1'000'000s));
}

struct fixture
{
    counters count;
    view v{id_of(0), {}, count, 1};
    node::outbox out;
    instant now{time_point(100s), wall(100s)};
    node::instance_list list;

    fixture()
    {
        list.index = 5;
        for (int i = 0; i < 9; ++i)
            list.instances.push_back({id_of(i), "", 1, {}, false});
        read();
        v.set_phase(phase::ready);
    }
    void read()
    {
        list.asked = now;
        v.on_list(list, now);
    }
    void pass(duration d)
    {
        now.mono += d;
        now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(d);
        v.tick(now, {}, out);
    }
    void hear(int i, phase p, std::uint64_t index = 5, wall_time confirmed = {})
    {
        protocol::heartbeat h;
        h.state = p;
        h.list_index = index;
        h.list_confirmed = confirmed;
        v.on_heartbeat({id_of(i), 1}, h, now, out);
    }
};

} // namespace

TEST_CASE("direct evidence takes precedence over the list", "[membership]")
{
    fixture f;
    const instance_id owner = *f.v.owner_of("key");
    const int i = owner.str().back() - '0';
    SECTION("a leaving instance is not usable")
    {
        if (i != 0)
            f.hear(i, phase::leaving);
        else
            f.v.set_phase(phase::leaving);
        CHECK(f.v.is_leaving(owner));
    }
    SECTION("an unreachable instance is suspected")
    {
        if (i != 0)
            f.v.on_connection_failed(owner, f.now);
        else
            f.v.set_phase(phase::leaving);
    }
    CHECK_FALSE(f.v.usable(owner));
    CHECK(f.v.owner_of("key") != owner);
    CHECK(f.v.first_listed("key") == owner);
}

TEST_CASE("a message from a suspected instance ends the suspicion",
          "[membership]")
{
    fixture f;
    f.v.on_request_timeout(id_of(3), f.now);
    REQUIRE_FALSE(f.v.usable(id_of(3)));
    f.hear(3, phase::ready);
    CHECK(f.v.usable(id_of(3)));
}

TEST_CASE("an instance without recent contact is not usable", "[membership]")
{
    fixture f;
    f.hear(3, phase::ready);
    for (int s = 0; s < 12; ++s)
        f.pass(1s);
    CHECK_FALSE(f.v.usable(id_of(3)));
    CHECK(f.v.usable(id_of(4))); // no contact yet: usable as listed
}

TEST_CASE("contact ages are encoded and parsed", "[membership]")
{
    std::string text;
    CHECK(append_contact_age(text, {instance_key(0x123456789abcdef0U), 3s}));
    CHECK(append_contact_age(text, {7, 150ms}));
    CHECK_FALSE(append_contact_age(text, {7, 1h}));
    const auto ages = parse_contact_ages(text + "%%%%%" + "AA");
    REQUIRE(ages.size() == 2);
    CHECK(ages[0].instance == 0xbcdef0U);
    CHECK(ages[0].age == 3s);
    CHECK(ages[1].age >= 150ms); // rounded up
}

TEST_CASE("a list is fresh for a bounded time", "[membership]")
{
    fixture f;
    REQUIRE(f.v.list_is_fresh(f.now.mono));
    f.pass(16s);
    CHECK_FALSE(f.v.list_is_fresh(f.now.mono));
    SECTION("a recent confirmation by a peer makes it fresh")
    {
        f.hear(1, phase::ready, 5, f.now.wall - std::chrono::seconds(1));
        CHECK(f.v.list_is_fresh(f.now.mono));
    }
    SECTION("a heartbeat delayed by a pause does not")
    {
        f.hear(1, phase::ready, 5, f.now.wall - std::chrono::seconds(16));
        CHECK_FALSE(f.v.list_is_fresh(f.now.mono));
    }
    SECTION("a confirmation from the future does not")
    {
        f.hear(1, phase::ready, 5, f.now.wall + std::chrono::seconds(9));
        CHECK_FALSE(f.v.list_is_fresh(f.now.mono));
    }
    SECTION("an answer to a request from before the pause does not")
    {
        f.v.on_list(f.list, f.now);
        CHECK_FALSE(f.v.list_is_fresh(f.now.mono));
    }
}

TEST_CASE("a list is not fresh while a peer has a newer one", "[membership]")
{
    fixture f;
    f.hear(1, phase::ready, 6);
    CHECK_FALSE(f.v.list_is_fresh(f.now.mono));
    f.list.index = 6;
    f.read();
    CHECK(f.v.list_is_fresh(f.now.mono));
}

TEST_CASE("the heartbeat rate does not depend on the number of instances",
          "[membership]")
{
    const int n = GENERATE(9, 400);
    fixture f;
    f.list.index = 6;
    for (int i = 9; i < n; ++i)
        f.list.instances.push_back({id_of(i), "", 1, {}, false});
    f.read();
    f.pass(1s); // announces the phase ready
    f.out.clear();
    for (int s = 0; s < 20; ++s)
        f.pass(1s);
    CHECK(f.out.size() <= 60);
    CHECK(f.out.size() >= 20);
}

TEST_CASE("leaving is announced before the next heartbeat is due",
          "[membership]")
{
    fixture f;
    f.pass(1s);
    f.out.clear();
    f.v.set_phase(phase::leaving);
    f.pass(50ms);
    CHECK(f.out.size() == 8);
}

TEST_CASE("a new incarnation is detected and an earlier one ignored",
          "[membership]")
{
    fixture f;
    CHECK_FALSE(f.v.on_message_from({id_of(2), 7}, f.now));
    CHECK(f.v.on_message_from({id_of(2), 8}, f.now));
    CHECK_FALSE(f.v.on_message_from({id_of(2), 7}, f.now));
    CHECK(f.v.incarnation_of(id_of(2)) == 8);
}

TEST_CASE("a tenure spans the lists in which the instance stays first",
          "[membership]")
{
    list_history h;
    std::vector<node::listed_instance> all;
    for (int i = 0; i < 5; ++i)
        all.push_back({id_of(i), "", 1, {}, false});
    h.add(all, time_point(10s));
    const instance_id first = *h.first("key");
    auto fewer = all;
    std::erase_if(fewer, [&](const auto& l) { return l.id != first; });
    h.add(fewer, time_point(20s));
    CHECK(h.tenure_of("key", first)->since == time_point(10s));
    SECTION("a gap in which lists may have been missed ends it")
    {
        h.add(fewer, time_point(30s), true);
        CHECK(h.tenure_of("key", first)->since == time_point(30s));
    }
    SECTION("the tenure of a successor names the preceding instance")
    {
        std::erase_if(all, [&](const auto& l) { return l.id == first; });
        h.add(all, time_point(30s));
        const instance_id next = *h.first("key");
        CHECK(h.tenure_of("key", next)->previous == first);
        CHECK(h.tenure_before_successor("key", first, next)->since ==
              time_point(10s));
    }
}
