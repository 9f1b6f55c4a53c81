#include "lovagegate/serve/peer_transport.hpp"
#include "tests/net/loop_fixture.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using serve::peer_transport;

namespace {

const std::string site_key(32, 'k');
const settings::endpoint any_port{"127.0.0.1", 0};

/// A transport that records the inputs it submits.
struct end_point
{
    end_point(net::event_loop& loop, const std::string& name,
              const std::string& key)
        : transport(
              loop, {instance_id(name), 1}, wire::shared_key(key), any_port,
              [this](const node::input& in) { inputs.push_back(in); }, count)
    {
    }

    template <typename T>
    [[nodiscard]] std::size_t got() const
    {
        std::size_t n = 0;
        for (const node::input& in : inputs)
            n += std::holds_alternative<T>(in) ? 1 : 0;
        return n;
    }

    [[nodiscard]] node::listed_instance listed(const std::string& name) const
    {
        return {instance_id(name), "127.0.0.1", transport.port(), {}, false};
    }

    std::vector<node::input> inputs;
    counters count;
    peer_transport transport;
};

} // namespace

TEST_CASE("a link is used in both directions", "[serve]")
{
    net::test::loop_fixture f;
    end_point a(f.loop, "a", site_key);
    end_point b(f.loop, "b", site_key);
    a.transport.set_instances(std::vector{b.listed("b")});
    a.transport.send(instance_id{"b"}, protocol::lease_cancel{7, pool_id{"p"}});
    REQUIRE(f.run_until([&] { return b.got<node::peer_message>() == 1; }));
    const auto& m = std::get<node::peer_message>(b.inputs.at(0));
    CHECK(m.envelope.from.instance == instance_id{"a"});
    CHECK(std::get<protocol::lease_cancel>(m.envelope.body).id == 7);
    // b has no address for a, so it must answer over the same link.
    b.transport.send(instance_id{"a"}, protocol::lease_cancel{8, pool_id{"p"}});
    REQUIRE(f.run_until([&] { return a.got<node::peer_message>() == 1; }));
}

TEST_CASE("a peer without the shared key is refused", "[serve]")
{
    net::test::loop_fixture f;
    end_point a(f.loop, "a", std::string(32, 'x'));
    end_point b(f.loop, "b", site_key);
    a.transport.set_instances(std::vector{b.listed("b")});
    a.transport.send(instance_id{"b"}, protocol::lease_cancel{7, pool_id{"p"}});
    REQUIRE(f.run_until([&] { return a.got<node::peer_lost>() == 1; }));
    CHECK(b.got<node::peer_message>() == 0);
}

TEST_CASE("an address reassigned to another instance gets no message",
          "[serve]")
{
    net::test::loop_fixture f;
    end_point a(f.loop, "a", site_key);
    end_point b(f.loop, "b", site_key);
    a.transport.set_instances(std::vector{b.listed("c")});
    a.transport.send(instance_id{"c"}, protocol::lease_cancel{7, pool_id{"p"}});
    REQUIRE(f.run_until([&] { return a.got<node::peer_lost>() == 1; }));
    CHECK(b.got<node::peer_message>() == 0);
}

TEST_CASE("an instance that cannot be reached is reported", "[serve]")
{
    net::test::loop_fixture f;
    end_point a(f.loop, "a", site_key);
    std::vector<node::listed_instance> gone;
    {
        const end_point b(f.loop, "b", site_key);
        gone = {b.listed("b")};
    }
    a.transport.set_instances(gone);
    a.transport.send(instance_id{"b"}, protocol::lease_cancel{7, pool_id{"p"}});
    REQUIRE(f.run_until([&] { return a.got<node::peer_lost>() == 1; }));
    CHECK(a.got<node::peer_lost>() == 1);
}
