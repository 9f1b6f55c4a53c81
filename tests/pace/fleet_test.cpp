#include "lovagegate/gateway/placement.hpp"
#include "lovagegate/pace/admission_client.hpp"
#include "lovagegate/pace/engine_gates.hpp"
#include "lovagegate/pace/request_admission.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace lovagegate;
using namespace lovagegate::pace;
using namespace lovagegate::gateway;

namespace {

constexpr std::size_t instance_count = 86;
constexpr std::size_t engine_count = 60;
constexpr std::uint32_t slots = 32;
constexpr duration objective = 600ms;
/// Age of the loads that heartbeats bring to other instances.
constexpr duration report_age = 1s;
constexpr duration datagram_time = 3ms;
constexpr double prompt_tokens = 1000;

std::string engine_name(std::size_t i)
{
    return "e" + std::to_string(i);
}

/// Engines that read one prompt after the other, run up to their slots, and
/// queue the rest; and instances that choose among them by placement.
class fleet
{
public:
    /// @param gated requests are admitted by the engines' owners
    explicit fleet(bool gated) : gated_(gated)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            target_state t;
            t.entry.id = engine_name(i);
            t.entry.service = "s";
            t.entry.slots = slots;
            t.entry.started_ms = 1;
            targets_[t.entry.id] = t;
            engines_[t.entry.id];
        }
        for (std::size_t i = 0; i < instance_count; ++i) {
            auto& m = instances_.emplace_back(
                std::make_unique<instance>(address(i), i));
            m->client = std::make_unique<admission_client>(
                1000 * i,
                [this, from = i](const std::string& to, const peer_message& s) {
                    post(from, to, s);
                });
            for (const auto& [id, t] : targets_)
                m->load.on_published_entry(t.entry, 0, now);
        }
        update_owners();
    }

    /// @param rate requests a second of all instances
    void run(duration time, double rate)
    {
        for (const time_point end = now + time; now < end; now += 1ms) {
            for (due_ += rate / 1000; due_ >= 1; --due_)
                start_request();
            while (!events_.empty() && events_.begin()->first <= now) {
                const auto event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            step_engines();
            for (auto& m : instances_)
                if (const auto at = m->client->next_action(); at && *at <= now)
                    m->client->tick(now);
            if (now - last_report_ >= 300ms)
                report();
            if (now - last_tick_ >= 50ms) {
                last_tick_ = now;
                update_owners();
            }
        }
    }

    void lose_engine(const std::string& id)
    {
        engines_.erase(id);
        targets_.erase(id);
    }

    void start_engine(const std::string& id, double ms_per_prompt)
    {
        target_state t = targets_.begin()->second;
        t.entry.id = id;
        t.entry.started_ms = 2;
        targets_[id] = t;
        engines_[id].ms_per_prompt = ms_per_prompt;
        for (auto& m : instances_) {
            m->load.on_published_entry(t.entry, 0, now);
            m->load.on_load_report({id, 1, {}, 0, 0, 0, 0, 4}, now);
        }
        for (auto& m : instances_)
            m->gates.on_listed(id, 2, false, now);
        update_owners();
    }

    void freeze_owner_of(const std::string& id) { owner_of(id).frozen = true; }

    [[nodiscard]] std::uint32_t peak(const std::string& id) const
    {
        return engines_.at(id).peak;
    }

    [[nodiscard]] std::uint32_t highest_peak() const
    {
        std::uint32_t highest = 0;
        for (const auto& [id, e] : engines_)
            highest = std::max(highest, e.peak);
        return highest;
    }

    void reset_peaks()
    {
        for (auto& [id, e] : engines_)
            e.peak = 0;
        late_ = 0;
    }

    [[nodiscard]] std::uint64_t begun(const std::string& id) const
    {
        return engines_.at(id).begun;
    }

    [[nodiscard]] const engine_gate* gate(const std::string& id)
    {
        return owner_of(id).gates.find(id);
    }

    std::uint64_t refused = 0;
    std::uint64_t overridden = 0;
    std::uint64_t late_ = 0; ///< first events after the objective
    time_point now{100s};

private:
    struct run_state
    {
        std::size_t instance = 0;
        std::uint64_t number = 0; ///< of the admission; 0: none
        time_point sent{};
        double prompt_ms = 0; ///< left to read
        time_point ends{};
    };

    struct engine
    {
        std::deque<run_state> reading; ///< and queued
        std::vector<run_state> running;
        double ms_per_prompt = 25;
        std::uint32_t peak = 0;
        std::uint64_t begun = 0;
    };

    struct instance
    {
        instance(std::string a, std::size_t seed)
            : address(std::move(a)), load("", seed)
        {
        }
        std::string address;
        placement load;
        engine_gates gates;
        std::unique_ptr<admission_client> client;
        bool frozen = false;
    };

    /// One request while its target is chosen.
    struct choosing
    {
        std::size_t instance = 0;
        std::vector<std::string> excluded;
        refused_choices refusals;
    };

    static std::string address(std::size_t i)
    {
        return "10.0.0." + std::to_string(i);
    }

    instance& owner_of(const std::string& id)
    {
        return *instances_[std::hash<std::string>()(id) % instance_count];
    }

    void at(time_point t, std::function<void()> what)
    {
        events_.emplace(t, std::move(what));
    }

    void post(std::size_t from, const std::string& to, const peer_message& m)
    {
        const std::string sender = to.empty() ? "" : address(from);
        const auto receiver =
            to.empty() ? from : std::stoul(to.substr(to.rfind('.') + 1));
        const auto arrive = [this, sender, from, receiver, m] {
            instance& r = *instances_[receiver];
            if (r.frozen)
                return;
            if (const auto* ask = std::get_if<run_request>(&m)) {
                const auto reply = r.gates.on_request(sender, *ask, now);
                const std::string owner = sender.empty() ? "" : r.address;
                const auto back = [this, from, owner, reply] {
                    instances_[from]->client->on_reply(owner, reply, now);
                };
                if (sender.empty())
                    back();
                else
                    at(now + datagram_time, back);
            } else if (const auto* u = std::get_if<run_update>(&m)) {
                r.gates.on_update(sender, *u, now);
            }
        };
        if (sender.empty())
            arrive();
        else
            at(now + datagram_time, arrive);
    }

    void start_request()
    {
        auto c = std::make_shared<choosing>();
        c->instance = random_() % instance_count;
        choose(c);
    }

    void choose(const std::shared_ptr<choosing>& c)
    {
        instance& m = *instances_[c->instance];
        placement_request wanted;
        wanted.service = "s";
        wanted.excluded = c->excluded;
        wanted.chosen_again = !c->refusals.empty();
        std::vector<const target_state*> all;
        for (const auto& [id, t] : targets_)
            all.push_back(&t);
        const auto choice = m.load.choose(wanted, all, instance_count, now);
        if (!choice) {
            settle(c);
            return;
        }
        instance& owner = owner_of(choice->target);
        if (!gated_ || m.client->is_silent(owner.address, now)) {
            send(*c, choice->target, 0);
            return;
        }
        ask(c, *choice, false);
    }

    void ask(const std::shared_ptr<choosing>& c, const placement_choice& choice,
             bool must_run)
    {
        instance& m = *instances_[c->instance];
        instance& owner = owner_of(choice.target);
        m.client->ask(
            &owner == &m ? "" : owner.address,
            {0, choice.target, 3, static_cast<std::uint32_t>(prompt_tokens),
             1500, objective, must_run},
            now, [this, c, target = choice](const admission_answer& a) {
                using kind = admission_answer::kind;
                if (a.result != kind::unanswered)
                    instances_[c->instance]->load.on_told_load(
                        target.target, a.open_requests, now);
                if (a.result != kind::refused) {
                    send(*c, target.target,
                         a.result == kind::admitted ? a.number : 0);
                    return;
                }
                c->refusals.add(target, a.open_requests, a.usable_slots, slots);
                c->excluded.push_back(target.target);
                if (c->refusals.is_complete())
                    settle(c);
                else
                    choose(c);
            });
    }

    void settle(const std::shared_ptr<choosing>& c)
    {
        if (const auto least = c->refusals.take_least_loaded(c->excluded)) {
            ++overridden;
            ask(c, *least, true);
        } else {
            ++refused;
        }
    }

    void send(const choosing& c, const std::string& id, std::uint64_t number)
    {
        instance& m = *instances_[c.instance];
        const auto e = engines_.find(id);
        if (e == engines_.end()) {
            m.client->on_event(number, run_event::ended, {}, now);
            return;
        }
        m.load.on_sent(id, now);
        e->second.reading.push_back(
            {c.instance, number, now, e->second.ms_per_prompt, {}});
    }

    void step_engines()
    {
        for (auto& [id, e] : engines_) {
            std::erase_if(e.running, [&, name = id](const run_state& r) {
                if (r.ends > now)
                    return false;
                instances_[r.instance]->load.on_left(name, now);
                instances_[r.instance]->load.on_success(name, now - r.sent);
                instances_[r.instance]->client->on_event(
                    r.number, run_event::ended, {}, now);
                return true;
            });
            e.peak = std::max(e.peak, static_cast<std::uint32_t>(
                                          e.reading.size() + e.running.size()));
            if (e.reading.empty() || e.running.size() >= slots)
                continue;
            run_state& r = e.reading.front();
            if (--r.prompt_ms > 0)
                continue;
            const duration first = now - r.sent;
            late_ += first > objective ? 1U : 0U;
            ++e.begun;
            instances_[r.instance]->load.on_first_event(id, first);
            instances_[r.instance]->client->on_event(r.number, run_event::begun,
                                                     first, now);
            // 400 requests a second fill 37% of 60 engines of 32 slots.
            r.ends = now + 1s + duration(random_() % 1500000);
            e.running.push_back(r);
            e.reading.pop_front();
        }
    }

    void report()
    {
        last_report_ = now;
        for (const auto& [id, e] : engines_) {
            const auto running =
                static_cast<std::uint32_t>(e.running.size() + e.reading.size());
            const engine_claim claim{id, 1, {}, running, 0, 0, 0, 4};
            at(now + report_age, [this, claim] {
                for (auto& m : instances_)
                    m->load.on_load_report(claim, now);
            });
            for (std::size_t i = 0; i < instance_count; ++i) {
                instance& m = *instances_[i];
                const auto open = std::max(m.client->open(id), m.load.open(id));
                instance& owner = owner_of(id);
                if (open > 0 && !owner.frozen)
                    owner.gates.on_told(&m == &owner ? "" : m.address, id, open,
                                        now);
            }
        }
    }

    void update_owners()
    {
        std::map<instance*, std::vector<owned_engine>> owned;
        for (const auto& [id, t] : targets_) {
            instance& o = owner_of(id);
            owned[&o].push_back({id, t.entry.started_ms, slots,
                                 o.load.mean_first_event_time("s"), now});
        }
        for (auto& m : instances_)
            (void)m->gates.update(owned[m.get()], now);
    }

    bool gated_;
    std::mt19937_64 random_{20261206};
    double due_ = 0;
    time_point last_report_{};
    time_point last_tick_{};
    std::map<std::string, target_state> targets_;
    std::map<std::string, engine> engines_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::multimap<time_point, std::function<void()>> events_;
};

} // namespace

// All instances chose the engines with the lowest load by reports of a second
// before: 25 requests reached one engine within 5 ms after others had crashed.
TEST_CASE("when a fifth of the engines vanishes, none gets over its slots",
          "[pace]")
{
    fleet f(true);
    f.run(4s, 400);
    f.reset_peaks();
    for (std::size_t i = 0; i < 12; ++i)
        f.lose_engine(engine_name(i));
    f.run(3s, 400);
    CAPTURE(f.overridden);
    CHECK(f.highest_peak() <= slots);
    CHECK(f.refused == 0);
    CHECK(f.late_ == 0);
}

// While most engines are busy, a refused request was refused by the next ones,
// too, and all went to the least loaded of three.
TEST_CASE("at two thirds of the slots, no engine gets over them", "[pace]")
{
    fleet f(true);
    f.run(4s, 700);
    f.reset_peaks();
    f.run(4s, 700);
    CHECK(f.highest_peak() <= slots);
    CHECK(f.late_ == 0);
    CHECK(f.overridden <= 100);
}

// A started engine with a load of 0 drew the requests of all instances, and
// its streams paused for up to a second.
TEST_CASE("a started engine is neither flooded nor idle", "[pace]")
{
    fleet f(true);
    f.run(4s, 500);
    f.reset_peaks();
    f.start_engine("new", 25);
    f.run(300ms, 500);
    CAPTURE(f.refused, f.late_);
    CHECK(f.begun("new") >= 1);
    CHECK(f.peak("new") <= slots / 2);
    f.run(6s, 500);
    CAPTURE(f.overridden);
    CHECK(f.peak("new") <= slots);
    REQUIRE(f.gate("new"));
    CHECK_FALSE(f.gate("new")->in_slow_start());
    CHECK(f.begun("new") >= 28); // three rounds
    // The share of each engine is 33 in four seconds.
    const auto before = f.begun("new");
    f.run(4s, 500);
    CHECK(f.begun("new") - before >= 25);
    CHECK(f.begun("new") - before <= 60);
    CHECK(f.late_ == 0);
}

// An engine that reads prompts at a sixth of the usual rate must keep a share
// that it can answer.
TEST_CASE("a slow engine gets from a fleet what it can answer", "[pace]")
{
    fleet f(true);
    f.run(4s, 500);
    f.reset_peaks();
    f.start_engine("slow", 150);
    f.run(6s, 500);
    CAPTURE(f.overridden);
    CAPTURE(f.refused, f.late_);
    CHECK(f.begun("slow") >= 10);
    CHECK(f.peak("slow") <= slots / 2);
}

// The owner of an engine freezes: its instances must go on without it, and
// wait for it only once a second.
TEST_CASE("a frozen owner costs no request its service", "[pace]")
{
    fleet f(true);
    f.run(3s, 400);
    f.reset_peaks();
    const auto before = f.begun(engine_name(5));
    f.freeze_owner_of(engine_name(5));
    f.run(2s, 400);
    CHECK(f.refused == 0);
    CHECK(f.begun(engine_name(5)) > before);
}
