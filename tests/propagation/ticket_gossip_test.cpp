#include "fleet/cluster.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using fleet::cluster;
using fleet::service_state;

namespace {

std::string ticket_with(ticket_number number, const std::string& adapter = "a")
{
    return "{\"ticket\":" + std::to_string(number) + ",\"adapters\":{\"" +
           adapter + "\":{\"model\":\"m\",\"versions\":[\"" +
           std::to_string(number) + "\"]}}}";
}

ticket_number number_at(cluster& c, std::size_t i,
                        const std::string& adapter = "a")
{
    return c.at(i).book->number_of(ticket::object_kind::adapter, adapter);
}

bool is_ready(cluster& c, std::size_t i)
{
    return c.at(i).view->own_phase() == protocol::phase::ready;
}

bool all_have_number(cluster& c, ticket_number number)
{
    for (std::size_t i = 0; i < c.size(); ++i)
        if (number_at(c, i) != number)
            return false;
    return true;
}

void set_all(cluster& c, service_state s)
{
    for (std::size_t i = 0; i < c.size(); ++i)
        c.set_service(i, s);
}

/// Publishes ticket 1 and waits until it is in force on every instance.
void publish_first_ticket(cluster& c)
{
    c.publish(ticket_with(1));
    c.run(20s);
    REQUIRE(all_have_number(c, 1));
}

} // namespace

TEST_CASE("one instance with access to the service informs all others",
          "[propagation]")
{
    cluster c(9, false);
    publish_first_ticket(c);
    set_all(c, GENERATE(service_state::down, service_state::stale));
    c.set_service(4, service_state::up);
    c.publish(ticket_with(2));
    c.run(13s);
    CHECK(all_have_number(c, 2));
}

TEST_CASE("an instance that does not watch polls when no watcher can read",
          "[propagation]")
{
    cluster c(40, false);
    publish_first_ticket(c);
    std::size_t other = 0;
    while (c.at(other).gossip->is_watcher())
        ++other;
    set_all(c, service_state::down);
    c.set_service(other, service_state::up);
    c.run(5s);
    c.publish(ticket_with(2));
    c.run(13s);
    CHECK(all_have_number(c, 2));
}

TEST_CASE("reads of a service that fails at once are limited", "[propagation]")
{
    cluster c(9, false);
    publish_first_ticket(c);
    set_all(c, service_state::down);
    const auto before = c.sent().service_calls;
    c.run(10s);
    const std::uint64_t lists = 9 * 2;
    CHECK(c.sent().service_calls - before - lists <= 9 * 11);
}

TEST_CASE("no ticket reverts when all instances restart on a stale service",
          "[propagation]")
{
    cluster c(9, false);
    publish_first_ticket(c);
    set_all(c, service_state::stale); // it keeps answering with ticket 1
    c.set_service(0, service_state::up);
    c.publish(ticket_with(2));
    c.run(13s);
    REQUIRE(all_have_number(c, 2));
    c.at(0).service = service_state::stale;
    c.at(0).stale_version = 1;
    for (std::size_t i = 0; i < c.size(); ++i) {
        c.start(i);
        for (int k = 0; k < 400; ++k) {
            c.run(cluster::step_time);
            if (is_ready(c, i))
                REQUIRE(number_at(c, i) == 2);
        }
        REQUIRE(is_ready(c, i));
    }
}

TEST_CASE("an instance that starts without contact to others is not ready",
          "[propagation]")
{
    cluster c(9, false);
    publish_first_ticket(c);
    for (std::size_t i = 1; i < c.size(); ++i)
        c.cut.insert({0, i});
    c.start(0);
    c.run(60s);
    CHECK_FALSE(is_ready(c, 0));
    c.cut.clear();
    c.run(5s);
    CHECK(is_ready(c, 0));
}

TEST_CASE("instances that all start at once become ready by the service alone",
          "[propagation]")
{
    cluster c(9, false);
    c.publish(ticket_with(1));
    c.run(10s);
    for (std::size_t i = 0; i < c.size(); ++i)
        CHECK(is_ready(c, i));
    CHECK(all_have_number(c, 1));
}

TEST_CASE("both sides of a partition converge after it heals", "[propagation]")
{
    cluster c(8, false);
    publish_first_ticket(c);
    for (std::size_t i = 0; i < 4; ++i)
        for (std::size_t j = 4; j < 8; ++j)
            c.cut.insert({i, j});
    set_all(c, service_state::down);
    c.at(0).gossip->apply_and_queue(ticket_with(2), *c.at(0).book, c.now());
    c.at(5).gossip->apply_and_queue(ticket_with(3, "b"), *c.at(5).book,
                                    c.now());
    c.run(5s);
    CHECK(number_at(c, 3) == 2);
    CHECK(number_at(c, 7) == 1);
    c.cut.clear();
    c.run(13s);
    for (std::size_t i = 0; i < c.size(); ++i) {
        CHECK(number_at(c, i) == 2);
        CHECK(number_at(c, i, "b") == 3);
    }
}

TEST_CASE("a permanent digest difference causes few pulls", "[propagation]")
{
    cluster c(2, false);
    publish_first_ticket(c);
    set_all(c, service_state::down);
    protocol::ticket_digest strange{9, 12345, {}};
    node::outbox out;
    for (int i = 0; i < 600; ++i) {
        c.run(1s);
        c.at(0).gossip->on_digest({c.id_of(1), 99}, strange,
                                  protocol::phase::ready, *c.at(0).book,
                                  c.now(), out);
    }
    CHECK(out.size() < 30);
}
