#include "lovagegate/gateway/store_mirror.hpp"

#include "lovagegate/gateway/store_reader_election.hpp"
#include "standins/site/platform_store.hpp"
#include "tests/net/loop_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

constexpr std::size_t instance_count = 6;
/// Longer than a test may take.
constexpr duration never = 10min;

/// Instances that reach the store by one entrance each, and each other by
/// datagrams that aren't lost. They have met, and send no heartbeats any more.
class fleet
{
public:
    explicit fleet(const store_reader_settings& settings)
    {
        store.put_config("first");
        for (std::size_t i = 0; i < instance_count; ++i)
            instances_.push_back(
                std::make_unique<instance>(*this, i, settings));
        exchange_heartbeats();
        for (auto& i : instances_)
            i->mirror.start();
        REQUIRE(f.run_until([&] {
            return std::ranges::all_of(instances_, [](const auto& i) {
                return i->config == "first" &&
                       !i->mirror.operator_keys().is_failing() &&
                       !i->mirror.targets().is_failing();
            });
        }));
        exchange_heartbeats();
        // A watch that has begun or is scheduled brings what follows, also to
        // instances that have given up the duty.
        bool watches_ended = false;
        f.loop.call_later(500ms, [&] { watches_ended = true; });
        REQUIRE(f.run_until([&] { return watches_ended; }));
    }

    void exchange_heartbeats()
    {
        for (auto& from : instances_) {
            auto& self = from->state.members.self();
            from->mirror.describe(self);
            ++self.beat;
            for (auto& to : instances_)
                to->state.members.on_heartbeat({self, {}}, self.address, now());
        }
        for (auto& i : instances_)
            i->mirror.update_duty(now());
    }

    static time_point now() { return net::event_loop::now().mono; }

    /// @return the instances that read the store, the sender of news first
    [[nodiscard]] std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < instance_count; ++i) {
            const auto& members = instances_[i]->state.members;
            if (is_news_sender(members, now()))
                out.insert(out.begin(), i);
            else if (is_store_reader(members, now()))
                out.push_back(i);
        }
        return out;
    }

    /// @return the instances that read the store if the given ones don't
    [[nodiscard]] std::vector<std::size_t>
    next_readers(const std::vector<std::size_t>& silent) const
    {
        std::vector<std::size_t> out;
        for (const auto& address : next_store_readers(
                 instances_[silent.front()]->state.members, now())) {
            const std::size_t i = index_of(address);
            if (std::ranges::find(silent, i) == silent.end())
                out.push_back(i);
        }
        return out;
    }

    void turn_away(std::size_t index) { store.set_silent(true, index); }

    /// Ends an instance without notice.
    void lose(std::size_t index)
    {
        turn_away(index);
        lost_.insert(index);
    }

    /// Lets the instances send keepalives and check those of others.
    void begin_ticks()
    {
        for (std::size_t i = 0; i < instance_count; ++i)
            if (!lost_.contains(i))
                instances_[i]->mirror.tick(now());
        f.loop.call_later(50ms, [this] { begin_ticks(); });
    }

    /// @return number of live instances that read the store
    [[nodiscard]] std::size_t reading() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < instance_count; ++i)
            count += !lost_.contains(i) &&
                             instances_[i]->mirror.targets().is_reading()
                         ? 1U
                         : 0U;
        return count;
    }

    /// Lets the store answer all instances again.
    /// @return whether all have noticed
    bool heal()
    {
        for (std::size_t i = 0; i < instance_count; ++i)
            store.set_silent(false, i);
        const bool all = f.run_until([&] {
            return std::ranges::none_of(instances_, [](const auto& i) {
                return i->mirror.operator_keys().is_failing() ||
                       i->mirror.targets().is_failing();
            });
        });
        exchange_heartbeats();
        return all;
    }

    /// @return whether all instances but the given ones have the configuration
    ///         before long
    bool all_get(const std::string& config,
                 const std::vector<std::size_t>& except)
    {
        return f.run_until([&] {
            for (std::size_t i = 0; i < instance_count; ++i)
                if (std::ranges::find(except, i) == except.end() &&
                    instances_[i]->config != config)
                    return false;
            return true;
        });
    }

    net::test::loop_fixture f;
    standins::platform_store store{f.loop, instance_count};

private:
    struct instance
    {
        instance(fleet& all, std::size_t index,
                 const store_reader_settings& settings)
            : state{boot(all, index),
                    {},
                    target_directory(2s),
                    member_table(address_of(index), 1, {}, index,
                                 without_silence()),
                    engine_ownership(3s, engine_ownership::start_kind::first,
                                     now()),
                    placement("z", index),
                    retry_budget(0, 0, 1s, now()),
                    {},
                    send_allowance(address_of(index), now()),
                    {},
                    false,
                    time_point::max()},
              pool(all.f.loop),
              mirror(
                  all.f.loop, pool, state, random,
                  [&all, index](const std::string& to, std::string_view data) {
                      all.deliver(index, index_of(to), std::string(data));
                  },
                  [this](const platform_wire::store_item& item, duration) {
                      config = item.value;
                  },
                  [](const platform_wire::store_item&, duration) {}, settings)
        {
        }

        /// Membership shows no loss, so that only what the mirrors do counts.
        static member_settings without_silence()
        {
            member_settings s;
            s.direct_silence_timeout = never;
            return s;
        }

        static boot_settings boot(const fleet& all, std::size_t index)
        {
            boot_settings s;
            s.address = address_of(index);
            s.store = {"127.0.0.1", all.store.port(index)};
            return s;
        }

        gateway_state state;
        std::mt19937_64 random{1};
        target_pool pool;
        std::string config;
        store_mirror mirror;
    };

    static std::string address_of(std::size_t index)
    {
        return "127.0.0." + std::to_string(index + 1);
    }

    static std::size_t index_of(const std::string& address)
    {
        return std::stoul(address.substr(address.rfind('.') + 1)) - 1;
    }

    /// Delivers a datagram from the event loop, as the daemon does.
    void deliver(std::size_t from, std::size_t to, std::string data)
    {
        if (lost_.contains(from))
            return;
        f.loop.call_later({}, [this, from, to, data = std::move(data)] {
            if (lost_.contains(to))
                return;
            instance& receiver = *instances_.at(to);
            const auto message = decode(data);
            REQUIRE(message);
            const settings::endpoint sender{address_of(from), 0};
            if (const auto* news = std::get_if<store_changes>(&*message))
                receiver.mirror.on_changes(sender, *news);
            if (const auto* keepalive =
                    std::get_if<reader_keepalive>(&*message))
                receiver.mirror.on_keepalive(*keepalive, now());
            const auto* h = std::get_if<heartbeat>(&*message);
            if (h &&
                receiver.state.members.on_heartbeat(*h, sender.address, now())
                    .store_contact_changed)
                receiver.mirror.update_duty(now());
        });
    }

    std::vector<std::unique_ptr<instance>> instances_;
    std::set<std::size_t> lost_;
};

/// Only silence shows that the store is lost, and only what instances tell each
/// other at once makes others read it.
store_reader_settings short_watches()
{
    store_reader_settings s;
    s.watch_timeout = 50ms;
    s.watch_interval = 20ms;
    s.silence_margin = 100ms;
    s.response_margin = never;
    return s;
}

} // namespace

TEST_CASE("a configuration comes into force while the store answers neither "
          "of its readers",
          "[gateway]")
{
    fleet all(short_watches());
    const auto readers = all.readers();
    REQUIRE(readers.size() == 2);
    for (const auto i : readers)
        all.turn_away(i);
    all.store.put_config("second");
    CHECK(all.all_get("second", readers));
}

TEST_CASE("a configuration comes into force while the store also turns away "
          "an instance that takes over its reading",
          "[gateway]")
{
    fleet all(short_watches());
    auto silent = all.readers();
    REQUIRE(silent.size() == 2);
    const auto next = all.next_readers(silent);
    REQUIRE(next.size() >= 2);
    // The first one would send the news, the second one has them.
    const std::size_t more = GENERATE(1U, 2U);
    for (std::size_t i = 0; i < more; ++i)
        silent.push_back(next.at(i));
    for (const auto i : silent)
        all.turn_away(i);
    all.store.put_config("second");
    CHECK(all.all_get("second", silent));
}

TEST_CASE("a configuration comes into force after the store has turned each "
          "instance away once",
          "[gateway]")
{
    auto settings = short_watches();
    settings.response_margin = 400ms;
    settings.recheck_interval = 100ms;
    fleet all(settings);
    for (int round = 0; round < 4; ++round) {
        const auto readers = all.readers();
        REQUIRE(readers.size() == 2);
        for (const auto i : readers)
            all.turn_away(i);
        const std::string config = "round " + std::to_string(round);
        all.store.put_config(config);
        CHECK(all.all_get(config, readers));
        REQUIRE(all.heal());
    }
}

TEST_CASE("a configuration comes into force after the loss of both readers, "
          "before membership shows it",
          "[gateway]")
{
    // In fleets of ten and more membership took 3.2 s, longer than the limits
    // for configurations and for targets that leave.
    fleet all(short_watches());
    all.begin_ticks();
    auto lost = all.readers();
    REQUIRE(lost.size() == 2);
    if (GENERATE(false, true)) { // and of one that would take over
        const auto next = all.next_readers(lost);
        REQUIRE_FALSE(next.empty());
        lost.push_back(next.front());
    }
    for (const auto i : lost)
        all.lose(i);
    all.store.put_config("second");
    CHECK(all.all_get("second", lost));
    all.store.put_config("third");
    CHECK(all.all_get("third", lost));
    CHECK(all.reading() >= 1);
}

TEST_CASE("no other instance reads the store while its readers live",
          "[gateway]")
{
    fleet all(short_watches());
    all.begin_ticks();
    bool over = false;
    all.f.loop.call_later(2s, [&] { over = true; });
    REQUIRE(all.f.run_until([&] { return over; }));
    CHECK(all.reading() == 2);
}

TEST_CASE("the second reader of the store sends changes if the first one ends",
          "[gateway]")
{
    auto settings = short_watches();
    settings.silence_margin = never;
    fleet all(settings);
    const auto readers = all.readers();
    REQUIRE(readers.size() == 2);
    all.turn_away(readers.front());
    all.store.put_config("second");
    CHECK(all.all_get("second", {readers.front()}));
}

TEST_CASE("a configuration is in force in time although the store turns three "
          "pairs of readers away one after the other",
          "[gateway]")
{
    // The operators' shortest limit for a configuration to come into force.
    constexpr duration apply_limit = 2s;
    const store_reader_settings s;
    const duration first =
        s.watch_interval + s.watch_timeout + s.silence_margin;
    const duration each_next = s.probe_watch_timeout + s.silence_margin;
    CHECK(first + 2 * each_next < apply_limit);
}
