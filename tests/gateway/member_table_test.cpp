#include "lovagegate/gateway/member_table.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

/// Several tables that exchange heartbeats without a network.
class small_fleet
{
public:
    explicit small_fleet(int size, int domains = 1, std::uint64_t seed = 0)
    {
        for (int i = 1; i <= size; ++i) {
            const std::string address = "10.0.0." + std::to_string(i);
            tables_.emplace(address,
                            member_table(address, 1, {"10.0.0.1"},
                                         seed + static_cast<std::uint64_t>(i)));
            tables_.at(address).self().failure_domain =
                "domain-" + std::to_string(i % domains);
        }
    }

    /// @param cut addresses that neither send nor receive
    void beat(const std::vector<std::string>& cut = {})
    {
        const auto is_cut = [&](const std::string& a) {
            return std::ranges::find(cut, a) != cut.end();
        };
        for (auto& [address, table] : tables_) {
            for (const auto& out : table.next(now_))
                for (const auto& to : out.to)
                    if (!is_cut(address) && !is_cut(to) &&
                        tables_.contains(to)) {
                        records_ += out.message.others.size() + 1;
                        tables_.at(to).on_heartbeat(out.message, address, now_);
                    }
        }
        now_ += member_settings{}.interval;
    }

    member_table& at(const std::string& address) { return tables_.at(address); }
    [[nodiscard]] time_point now() const { return now_; }
    std::map<std::string, member_table>& all() { return tables_; }
    [[nodiscard]] std::size_t records() const { return records_; }

private:
    std::map<std::string, member_table> tables_;
    time_point now_{100s};
    std::size_t records_ = 0; ///< number of records sent
};

} // namespace

TEST_CASE("instances that no seed names become known to all", "[gateway]")
{
    const int size = GENERATE(3, 9, 40);
    small_fleet fleet(size);
    for (int i = 0; i < 12; ++i)
        fleet.beat();
    for (auto& [address, table] : fleet.all())
        CHECK(table.count(fleet.now()) == static_cast<std::size_t>(size));
}

TEST_CASE("a silent instance is not counted until it returns", "[gateway]")
{
    small_fleet fleet(5);
    for (int i = 0; i < 6; ++i)
        fleet.beat();
    for (int i = 0; i < 5; ++i)
        fleet.beat({"10.0.0.3"});
    CHECK(fleet.at("10.0.0.2").count(fleet.now()) == 4);
    CHECK(fleet.at("10.0.0.2").has_majority(fleet.now()));
    CHECK_FALSE(fleet.at("10.0.0.3").has_majority(fleet.now()));
    for (int i = 0; i < 6; ++i)
        fleet.beat();
    CHECK(fleet.at("10.0.0.2").count(fleet.now()) == 5);
    CHECK(fleet.at("10.0.0.3").has_majority(fleet.now()));
}

TEST_CASE("a leaving instance is not counted, however young its heartbeat",
          "[gateway]")
{
    small_fleet fleet(3);
    for (int i = 0; i < 4; ++i)
        fleet.beat();
    fleet.at("10.0.0.2").self().leaving = true;
    fleet.beat();
    CHECK(fleet.at("10.0.0.1").count(fleet.now()) == 2);
}

TEST_CASE("a heartbeat under another sender's address is ignored", "[gateway]")
{
    member_table table("10.0.0.1", 1, {}, 7);
    heartbeat h;
    h.self.address = "10.0.0.2";
    CHECK_FALSE(table.on_heartbeat(h, "10.0.0.9", time_point{1s}).joined);
    CHECK(table.all().empty());
}

TEST_CASE(
    "a restarted instance replaces its record even if its clock is behind",
    "[gateway]")
{
    member_table table("10.0.0.1", 1, {}, 7);
    heartbeat h;
    h.self.address = "10.0.0.2";
    h.self.start = 500;
    h.self.beat = 90;
    table.on_heartbeat(h, "10.0.0.2", time_point{1s});
    h.self.start = 400;
    h.self.beat = 1;
    CHECK(table.on_heartbeat(h, "10.0.0.2", time_point{2s}).joined);
    CHECK(table.all().at("10.0.0.2").record.start == 400);
}

TEST_CASE("no member of a large fleet is taken for silent by mistake",
          "[gateway]")
{
    const auto [size, domains] =
        GENERATE(std::pair(60, 5), std::pair(85, 3), std::pair(100, 11));
    small_fleet fleet(size, domains);
    for (int i = 0; i < 20; ++i)
        fleet.beat();
    for (int i = 0; i < 100; ++i) {
        fleet.beat();
        for (auto& [address, table] : fleet.all())
            REQUIRE(table.count(fleet.now()) == static_cast<std::size_t>(size));
    }
}

TEST_CASE("a heartbeat without claims keeps the known claims", "[gateway]")
{
    member_table table("10.0.0.1", 1, {}, 7);
    heartbeat full;
    full.self.address = "10.0.0.2";
    full.self.beat = 1;
    full.self.claims = {{"e1", 5, 0ms, 0, 0, 0, 0, 0}};
    table.on_heartbeat(full, "10.0.0.2", time_point{1s});
    heartbeat other;
    other.self.address = "10.0.0.3";
    other.others.push_back(full.self);
    other.others.back().beat = 2;
    other.others.back().claims_omitted = true;
    other.others.back().claims.clear();
    table.on_heartbeat(other, "10.0.0.3", time_point{2s});
    CHECK(table.all().at("10.0.0.2").record.beat == 2);
    CHECK(table.all().at("10.0.0.2").record.claims.size() == 1);
}

TEST_CASE("an engine's load isn't taken from a record that is older than what "
          "is known",
          "[gateway]")
{
    member_table table("10.0.0.1", 1, {}, 1);
    const auto record = [](std::string address, std::uint64_t beat) {
        member_record r;
        r.address = std::move(address);
        r.start = 1;
        r.beat = beat;
        return r;
    };
    const auto tell = [&](std::uint64_t beat) {
        member_record told = record("10.0.0.3", beat);
        engine_claim claim;
        claim.engine = "e";
        told.claims.push_back(claim);
        const heartbeat h{record("10.0.0.2", beat), {told}};
        return table.on_heartbeat(h, "10.0.0.2", time_point{1s}).claims.size();
    };
    CHECK(tell(5) == 1);
    CHECK(tell(4) == 0);
    CHECK(tell(5) == 0);
    CHECK(tell(6) == 1);
}
