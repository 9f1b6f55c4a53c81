#include "lovagegate/gateway/engine_ownership.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

constexpr duration lease = 3s;
constexpr duration step = 100ms;

/// Instances that exchange heartbeats and compete for the ownership of engines.
class owners
{
public:
    explicit owners(int size)
    {
        for (int i = 1; i <= size; ++i)
            start("10.0.0." + std::to_string(i), start_kind::first);
    }

    using start_kind = engine_ownership::start_kind;

    void start(const std::string& address, start_kind kind,
               std::vector<std::string> seeds = {"10.0.0.1", "10.0.0.2"})
    {
        nodes_[address] = std::make_unique<node>(
            node{member_table(address, ++starts_, seeds, starts_),
                 engine_ownership(lease, kind, now_, false)});
    }

    void kill(const std::string& address) { nodes_.erase(address); }

    void leave(const std::string& address)
    {
        node& n = *nodes_.at(address);
        n.members.self().claims = claims(n);
        n.members.self().leaving = true;
        n.ownership.drop_all("stopping", now_);
    }

    void set_seeds(const std::string& address, std::vector<std::string> seeds)
    {
        nodes_.at(address)->members.set_seeds(std::move(seeds));
    }

    /// @param cut addresses that are partitioned from all others
    void run(duration time, const std::set<std::string>& cut = {})
    {
        const time_point until = now_ + time;
        for (; now_ < until; now_ += step) {
            if ((now_.time_since_epoch() / step) % 4 == 0)
                beat(cut);
            for (auto& [id, e] : engine_states_)
                e.reported_sequence = e.sequence;
            for (auto& [address, n] : nodes_)
                update(*n, address);
        }
    }

    /// @return addresses that may order the engine now
    [[nodiscard]] std::vector<std::string> who(const std::string& engine) const
    {
        std::vector<std::string> out;
        for (const auto& [address, n] : nodes_)
            if (n->ownership.find(engine))
                out.push_back(address);
        return out;
    }

    [[nodiscard]] bool is_established(const std::string& address) const
    {
        return nodes_.at(address)->ownership.is_established();
    }

    [[nodiscard]] fencing_token token(const std::string& address) const
    {
        return nodes_.at(address)->ownership.find("e1")->token;
    }

    /// @return shortest time between orders of two instances to one engine
    [[nodiscard]] duration shortest_turn() const { return shortest_turn_; }
    [[nodiscard]] bool tokens_grew() const { return tokens_grew_; }
    /// @return whether an engine accepted orders of an instance, of another one
    ///         and of the first one again within a lease
    [[nodiscard]] bool took_turns() const { return took_turns_; }
    /// Instances whose callers need no orders.
    std::set<std::string> idle;
    unsigned lost_percent = 0; ///< of the heartbeats
    engine_ownership& ownership(const std::string& address)
    {
        return nodes_.at(address)->ownership;
    }
    [[nodiscard]] instant now() const { return {now_, wall()}; }
    /// Offset of each instance's wall clock.
    std::map<std::string, std::chrono::milliseconds> skew;

private:
    struct node
    {
        member_table members;
        engine_ownership ownership;
    };
    struct engine_state
    {
        std::string last_by;
        fencing_token token = 0;
        std::map<std::string, time_point> last_order; ///< by instance
        std::uint64_t sequence = 0;
        std::uint64_t reported_sequence = 0; ///< at the begin of a step
    };

    [[nodiscard]] wall_time wall() const
    {
        return wall_time(std::chrono::hours(500000)) +
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   now_.time_since_epoch());
    }

    std::vector<engine_claim> claims(const node& n) const
    {
        std::vector<engine_claim> out;
        for (const auto& [id, o] : n.ownership.all())
            out.push_back({id, o.token, now_ - o.last_order, 0, 0, 0});
        return out;
    }

    void beat(const std::set<std::string>& cut)
    {
        for (auto& [address, n] : nodes_) {
            if (!n->members.self().leaving)
                n->members.self().claims = claims(*n);
            else
                for (auto& c : n->members.self().claims)
                    c.since_last_order += 4 * step;
            for (const auto& out : n->members.next(now_))
                for (const auto& to : out.to)
                    if (random_() % 100 >= lost_percent &&
                        cut.contains(address) == cut.contains(to) &&
                        nodes_.contains(to))
                        nodes_.at(to)->members.on_heartbeat(out.message,
                                                            address, now_);
        }
    }

    void update(node& n, const std::string& address)
    {
        const instant at{now_, wall() + skew[address]};
        n.ownership.update(n.members, engines_, at);
        for (const auto& id : engines_)
            if (n.ownership.find(id) || n.ownership.watched().contains(id))
                n.ownership.on_report(id, 1,
                                      engine_states_[id].reported_sequence, at);
        if (idle.contains(address))
            return;
        // Every owner sends orders all the time: the worst case for a change of
        // owner.
        for (const auto& [id, o] : n.ownership.all())
            order(n, address, id, o.token);
    }

    void order(node& n, const std::string& address, const std::string& id,
               fencing_token token)
    {
        engine_state& e = engine_states_[id];
        n.ownership.on_ordered(id, now_);
        if (!n.ownership.is_established() &&
            e.sequence != e.reported_sequence) {
            n.ownership.on_order_failed(id); // the order names the number
            return;
        }
        if (!e.last_by.empty() && e.last_by != address) {
            shortest_turn_ =
                std::min(shortest_turn_, now_ - e.last_order[e.last_by]);
            tokens_grew_ = tokens_grew_ && token > e.token;
            const auto before = e.last_order.find(address);
            took_turns_ = took_turns_ || (before != e.last_order.end() &&
                                          now_ - before->second < lease);
        }
        e.last_by = address;
        e.token = token;
        e.last_order[address] = now_;
        ++e.sequence;
    }

    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::map<std::string, engine_state> engine_states_;
    std::vector<std::string> engines_{"e1", "e2", "e3", "e4"};
    duration shortest_turn_ = 1h;
    bool tokens_grew_ = true;
    bool took_turns_ = false;
    std::uint64_t starts_ = 0;
    std::mt19937 random_{1};
    time_point now_{100s};
};

} // namespace

TEST_CASE("every engine gets exactly one owner", "[gateway]")
{
    owners fleet(9);
    fleet.run(5s);
    for (const char* engine : {"e1", "e2", "e3", "e4"})
        CHECK(fleet.who(engine).size() == 1);
    CHECK(fleet.shortest_turn() == 1h);
}

TEST_CASE("a killed owner's engines are taken over after a lease", "[gateway]")
{
    owners fleet(5);
    fleet.run(5s);
    const auto owner = fleet.who("e1").front();
    fleet.kill(owner);
    fleet.run(10s);
    REQUIRE(fleet.who("e1").size() == 1);
    CHECK(fleet.who("e1").front() != owner);
    CHECK(fleet.shortest_turn() >= lease);
    CHECK(fleet.tokens_grew());
}

TEST_CASE("a stopping owner's engines are taken a lease after its last order",
          "[gateway]")
{
    owners fleet(5);
    fleet.run(5s);
    const auto owner = fleet.who("e1").front();
    fleet.leave(owner);
    fleet.run(5s);
    REQUIRE(fleet.who("e1").size() == 1);
    CHECK(fleet.who("e1").front() != owner);
    CHECK(fleet.shortest_turn() >= lease);
}

TEST_CASE("a cut-off owner stops before another one begins", "[gateway]")
{
    owners fleet(5);
    fleet.run(5s);
    const auto owner = fleet.who("e1").front();
    fleet.run(9s, {owner});
    REQUIRE(fleet.who("e1").size() == 1);
    CHECK(fleet.who("e1").front() != owner);
    fleet.run(9s);
    CHECK(fleet.who("e1").size() == 1);
    CHECK(fleet.shortest_turn() >= lease);
    CHECK(fleet.tokens_grew());
}

TEST_CASE("a new instance doesn't take engines from live owners", "[gateway]")
{
    owners fleet(3);
    fleet.run(5s);
    const auto before = fleet.who("e1");
    fleet.start("10.0.0.7", owners::start_kind::unfenced);
    fleet.run(9s);
    CHECK(fleet.who("e1") == before);
    CHECK(fleet.shortest_turn() == 1h);
}

TEST_CASE("after a restart of all, nobody orders before a lease has passed",
          "[gateway]")
{
    owners fleet(4);
    fleet.run(5s);
    for (int i = 1; i <= 4; ++i) {
        fleet.kill("10.0.0." + std::to_string(i));
        fleet.start("10.0.0." + std::to_string(i),
                    owners::start_kind::unfenced);
    }
    fleet.run(9s);
    CHECK(fleet.who("e1").size() == 1);
    CHECK(fleet.shortest_turn() >= lease);
}

TEST_CASE(
    "after a restart of all, engines that check fences get owners at once",
    "[gateway]")
{
    owners fleet(4);
    fleet.run(5s);
    for (int i = 1; i <= 4; ++i) {
        fleet.kill("10.0.0." + std::to_string(i));
        fleet.start("10.0.0." + std::to_string(i), owners::start_kind::fenced);
    }
    for (int i = 0; i < 200; ++i) {
        fleet.run(10ms);
        for (const auto* engine : {"e1", "e2", "e3"})
            REQUIRE(fleet.who(engine).size() <= 1); // never two owners
    }
    CHECK(fleet.who("e1").size() == 1);
}

TEST_CASE("after a restart of all, large fleets don't have two owners either",
          "[gateway]")
{
    owners fleet(60);
    fleet.run(6s);
    for (int i = 1; i <= 60; ++i) {
        fleet.kill("10.0.0." + std::to_string(i));
        fleet.start("10.0.0." + std::to_string(i), owners::start_kind::fenced);
    }
    for (int i = 0; i < 80; ++i) {
        CAPTURE(i);
        fleet.run(100ms);
        for (const auto* engine : {"e1", "e2", "e3", "e4"})
            REQUIRE(fleet.who(engine).size() <= 1);
    }
    CHECK(fleet.who("e1").size() == 1);
}

TEST_CASE("a single restart doesn't take engines of live owners", "[gateway]")
{
    owners fleet(4);
    fleet.run(5s);
    const auto before = fleet.who("e1");
    const std::string other =
        before.front() == "10.0.0.3" ? "10.0.0.4" : "10.0.0.3";
    fleet.kill(other);
    fleet.start(other, owners::start_kind::fenced);
    fleet.run(9s);
    CHECK(fleet.who("e1") == before);
}

TEST_CASE("tokens grow over a takeover by an instance whose clock is behind",
          "[gateway]")
{
    owners fleet(3);
    fleet.run(5s);
    const auto owner = fleet.who("e1").front();
    for (const char* other : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        if (owner != other)
            fleet.skew[other] = -60s;
    fleet.kill(owner);
    fleet.run(10s);
    REQUIRE(fleet.who("e1").size() == 1);
    CHECK(fleet.tokens_grew());
}

TEST_CASE("a refused token is given up, raised and used after a lease",
          "[gateway]")
{
    owners fleet(1);
    fleet.run(3s);
    const std::string self = "10.0.0.1";
    REQUIRE(fleet.who("e1").size() == 1);
    const auto refused = fleet.token(self);
    fleet.ownership(self).on_token_refused("e1", fleet.now());
    CHECK(fleet.who("e1").empty());
    fleet.run(2s);
    CHECK(fleet.who("e1").empty());
    fleet.run(4s);
    REQUIRE(fleet.who("e1").size() == 1);
    CHECK(fleet.token(self) > refused + 2000 * 1024);
}

TEST_CASE("an instance whose seeds are down gives no orders beside owners that "
          "it doesn't know",
          "[gateway]")
{
    // The instance knew nobody, waited for a lease and took all engines.
    const auto kind =
        GENERATE(owners::start_kind::fenced, owners::start_kind::unfenced);
    owners fleet(7);
    fleet.run(5s);
    fleet.kill("10.0.0.1");
    fleet.kill("10.0.0.2");
    fleet.start("10.0.0.8", kind);
    fleet.run(20s);
    CHECK(fleet.shortest_turn() >= lease);
    CHECK_FALSE(fleet.took_turns());
    for (const char* engine : {"e1", "e2", "e3", "e4"}) {
        REQUIRE(fleet.who(engine).size() == 1);
        CHECK(fleet.who(engine).front() != "10.0.0.8");
    }
    // The platform names seeds that live.
    fleet.set_seeds("10.0.0.8", {"10.0.0.3", "10.0.0.4"});
    fleet.run(5s);
    CHECK(fleet.is_established("10.0.0.8"));
    CHECK_FALSE(fleet.took_turns());
}

TEST_CASE("two instances whose seeds name each other and are down otherwise "
          "give no orders beside owners that they don't know",
          "[gateway]")
{
    owners fleet(7);
    fleet.run(5s);
    fleet.kill("10.0.0.1");
    fleet.kill("10.0.0.2");
    fleet.start("10.0.0.8", owners::start_kind::unfenced);
    fleet.start("10.0.0.9", owners::start_kind::unfenced,
                {"10.0.0.1", "10.0.0.8"});
    fleet.run(20s);
    CHECK_FALSE(fleet.took_turns());
    for (const char* engine : {"e1", "e2", "e3", "e4"})
        CHECK(fleet.who(engine).size() == 1);
}

TEST_CASE("an instance that took idle engines gives them up when their owner "
          "orders again",
          "[gateway]")
{
    owners fleet(7);
    fleet.run(5s);
    fleet.kill("10.0.0.1");
    fleet.kill("10.0.0.2");
    fleet.start("10.0.0.8", owners::start_kind::unfenced);
    fleet.run(8s); // survivors take what the lost ones owned
    const std::set<std::string> others{"10.0.0.3", "10.0.0.4", "10.0.0.5",
                                       "10.0.0.6", "10.0.0.7"};
    fleet.idle = others;
    fleet.run(8s);
    CHECK(fleet.who("e1").size() == 2);
    fleet.idle = {"10.0.0.8"};
    fleet.run(300ms);
    fleet.idle = {};
    fleet.run(8s);
    CHECK_FALSE(fleet.took_turns());
    for (const char* engine : {"e1", "e2", "e3", "e4"}) {
        REQUIRE(fleet.who(engine).size() == 1);
        CHECK(fleet.who(engine).front() != "10.0.0.8");
    }
}

TEST_CASE("an instance that took idle engines gives them up when it is found",
          "[gateway]")
{
    owners fleet(7);
    fleet.run(5s);
    fleet.kill("10.0.0.1");
    fleet.kill("10.0.0.2");
    fleet.start("10.0.0.8", owners::start_kind::unfenced);
    fleet.run(8s);
    fleet.idle = {"10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7"};
    fleet.run(8s);
    const auto taken = fleet.token("10.0.0.8");
    fleet.set_seeds("10.0.0.8", {"10.0.0.3", "10.0.0.4"});
    fleet.run(3s);
    REQUIRE(fleet.who("e1").size() == 1);
    const auto owner = fleet.who("e1").front();
    CHECK(owner != "10.0.0.8");
    CHECK(fleet.token(owner) > taken); // the engine has seen the other token
    CHECK_FALSE(fleet.took_turns());
}

TEST_CASE("an instance that is alone for good owns engines in bounded time",
          "[gateway]")
{
    const auto kind =
        GENERATE(owners::start_kind::first, owners::start_kind::fenced,
                 owners::start_kind::unfenced);
    owners fleet(0);
    fleet.start("10.0.0.8", kind);
    fleet.run(5500ms);
    for (const char* engine : {"e1", "e2", "e3", "e4"})
        CHECK(fleet.who(engine).size() == 1);
}

TEST_CASE(
    "the halves of a fleet that stays cut don't give orders to one engine "
    "in turn",
    "[gateway]")
{
    // After ten seconds each half forgot the other one and took all engines.
    owners fleet(6);
    fleet.run(5s);
    fleet.run(30s, {"10.0.0.4", "10.0.0.5", "10.0.0.6"});
    CHECK_FALSE(fleet.took_turns());
    CHECK(fleet.shortest_turn() >= lease);
    fleet.run(8s);
    CHECK_FALSE(fleet.took_turns());
    for (const char* engine : {"e1", "e2", "e3", "e4"})
        CHECK(fleet.who(engine).size() == 1);
}

TEST_CASE("the instances that are left after the loss of most own engines as "
          "soon as the others count as gone",
          "[gateway]")
{
    owners fleet(8);
    fleet.run(5s);
    for (const char* lost :
         {"10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8"})
        fleet.kill(lost);
    fleet.run(14s);
    for (const char* engine : {"e1", "e2", "e3", "e4"})
        CHECK(fleet.who(engine).size() == 1);
    CHECK(fleet.shortest_turn() >= lease);
}

TEST_CASE(
    "instances that join with seeds of any kind and go down give no orders "
    "in turn with others",
    "[gateway]")
{
    constexpr unsigned plays = 30;
    constexpr int events = 12;
    for (unsigned play = 1; play <= plays; ++play) {
        CAPTURE(play);
        std::mt19937 random(play);
        const auto any_of = [&](const std::vector<std::string>& list) {
            return list[random() % list.size()];
        };
        owners fleet(7);
        fleet.lost_percent = 5;
        fleet.run(5s);
        std::vector<std::string> live;
        for (int i = 1; i <= 7; ++i)
            live.push_back("10.0.0." + std::to_string(i));
        auto ever = live;
        for (int event = 0; event < events; ++event) {
            switch (random() % 4) {
            case 0:
                if (live.size() > 4) {
                    const auto lost = any_of(live);
                    fleet.kill(lost);
                    std::erase(live, lost);
                }
                break;
            case 1:
                ever.push_back("10.0.0." + std::to_string(ever.size() + 1));
                live.push_back(ever.back());
                fleet.start(ever.back(), owners::start_kind::unfenced,
                            {any_of(ever), any_of(ever)});
                break;
            case 2:
                fleet.set_seeds(any_of(live), {any_of(live), any_of(live)});
                break;
            default:
                fleet.idle.clear();
                for (const auto& address : live)
                    if (random() % 2 == 0)
                        fleet.idle.insert(address);
            }
            fleet.run((1 + random() % 80) * step);
        }
        REQUIRE_FALSE(fleet.took_turns());
        for (const auto& address : live)
            fleet.set_seeds(address, {live[0], live[1]});
        fleet.idle.clear();
        fleet.run(15s);
        for (const char* engine : {"e1", "e2", "e3", "e4"})
            REQUIRE(fleet.who(engine).size() == 1);
    }
}
