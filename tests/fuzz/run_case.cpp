#include "tests/fuzz/run_case.hpp"

#include "tests/fuzz/oracle.hpp"

#include <algorithm>

namespace lovagegate::fuzz {

namespace {

constexpr duration step_time = 40ms;
constexpr duration wait_unit = 500ms;
/// Longer than a new home of request ids waits before it lets one run.
constexpr duration warm_up = 60s;
constexpr duration settle_time = 60s;
constexpr duration poison_interval = 200ms;
constexpr std::size_t poison_repeats = 6;
constexpr fingerprint poison_print = 666;
constexpr duration stale_age = 600s;
/// Bound between any two wall clocks: each is off by at most half of it.
constexpr std::chrono::milliseconds skew_bound{500};

/// One run of a case.
class driver
{
public:
    explicit driver(const sim::world_settings& settings)
        : settings_(settings), world_(settings), oracle_(settings.engines)
    {
        world_.publish(
            1, sim::first_ticket(settings.engines, settings.plain_targets));
        world_.run_for(warm_up);
    }

    void apply(const command& c)
    {
        if (!call(c) && !declare(c) && !fail_platform(c)) {
            fail_instance(c);
        }
        world_.run_for(step_time);
    }

    std::string settle()
    {
        world_.mend();
        world_.run_for(settle_time);
        world_.mend(); // starts the instances that have drained since
        world_.run_for(settle_time);
        if (world_.open_calls() != 0) {
            return "calls without an outcome: " +
                   std::to_string(world_.open_calls());
        }
        for (std::size_t i = 0; i < world_.instances(); ++i) {
            if (!world_.serving(i)) {
                return "not serving: instance " + std::to_string(i);
            }
        }
        return {};
    }

    /// Asks every instance for everything; the fleet is healthy.
    std::string ask_everything()
    {
        for (std::size_t i = 0; i < world_.instances(); ++i) {
            for (std::size_t a = 0; a < sim::adapter_count; ++a) {
                expect(draft(i, a), oracle_.draft_runs(a),
                       "draft on a" + std::to_string(a));
            }
            expect(signoff(i, next_request(), {}),
                   oracle_.signoff_runs(settings_.plain_targets), "sign-off");
        }
        world_.run_for(settle_time);
        return judge();
    }

    [[nodiscard]] std::string broken_rules() const
    {
        std::string text;
        for (const auto& v : world_.checker().violations()) {
            text += history::describe(v);
        }
        return text;
    }

private:
    struct expectation
    {
        std::uint64_t call = 0;
        bool runs = true;
        std::string what;
    };

    request_id next_request()
    {
        return request_id("r" + std::to_string(++last_request_));
    }

    std::uint64_t draft(std::size_t instance, std::size_t adapter,
                        const std::string& version = "")
    {
        sim::call_plan plan;
        plan.model = "a" + std::to_string(adapter % sim::adapter_count);
        plan.model += version.empty() ? "" : "@" + version;
        plan.request = next_request();
        plan.print = 1000 + last_request_;
        return world_.call(instance % world_.instances(), plan);
    }

    std::uint64_t signoff(std::size_t instance, const request_id& request,
                          duration issued_ago)
    {
        sim::call_plan plan;
        plan.completion = false;
        plan.idempotent = false;
        plan.request = request;
        plan.issued_ago = issued_ago;
        plan.print = std::hash<request_id>{}(request);
        return world_.call(instance % world_.instances(), plan);
    }

    void lookup(std::size_t instance)
    {
        sim::call_plan plan;
        plan.completion = false;
        plan.path = "/roster";
        plan.request = next_request();
        plan.print = 1000 + last_request_;
        world_.call(instance % world_.instances(), plan);
    }

    void overnight(std::size_t instance, std::size_t adapter)
    {
        sim::call_plan plan;
        plan.model = "a" + std::to_string(adapter % sim::adapter_count);
        plan.request = next_request();
        plan.print = 1000 + last_request_;
        plan.importance = priority::batch;
        world_.call(instance % world_.instances(), plan);
    }

    void poison(const command& c)
    {
        for (std::size_t n = 0; n < poison_repeats; ++n) {
            sim::call_plan plan;
            plan.model = "a" + std::to_string(c.b % sim::adapter_count);
            plan.request = next_request();
            plan.print = poison_print;
            plan.crashes_target = true;
            world_.call((c.a + n * n) % world_.instances(), plan);
            world_.run_for(poison_interval);
        }
    }

    bool call(const command& c)
    {
        switch (c.what) {
        case deed::draft:
            last_call_ = draft(c.a, c.b);
            return true;
        case deed::draft_version:
            last_call_ = draft(c.a, c.b, std::to_string(1 + c.b / 4 % 3));
            return true;
        case deed::overnight:
            overnight(c.a, c.b);
            return true;
        case deed::lookup:
            lookup(c.a);
            return true;
        case deed::signoff:
            ids_.emplace_back(next_request(), world_.now());
            last_call_ = signoff(c.a, ids_.back().first, {});
            return true;
        case deed::resend:
            if (!ids_.empty()) {
                const auto& [id, issued] = ids_[c.b % ids_.size()];
                last_call_ = signoff(c.a, id, world_.now() - issued);
            }
            return true;
        case deed::stale_signoff:
            signoff(c.a, next_request(), stale_age);
            return true;
        case deed::poison:
            poison(c);
            return true;
        case deed::leave:
            world_.leave(last_call_);
            return true;
        default:
            return false;
        }
    }

    bool declare(const command& c)
    {
        const ticket_number number = 2 + c.b % 32;
        if (c.what == deed::adapter_change) {
            const std::size_t adapter = c.a % sim::adapter_count;
            const std::size_t versions = c.a / 4 % 3;
            if (world_.publish(
                    number,
                    sim::adapter_ticket(number, "a" + std::to_string(adapter),
                                        versions))) {
                oracle_.adapter_changed(number, adapter, versions);
            }
            return true;
        }
        if (c.what == deed::target_change) {
            const std::size_t place =
                c.a % (settings_.engines + settings_.plain_targets);
            const bool leaving = c.a / 8 % 2 == 0;
            if (world_.publish_leaving(number, place, leaving)) {
                oracle_.target_changed(number, place, leaving);
            }
            return true;
        }
        return false;
    }

    bool fail_platform(const command& c)
    {
        switch (c.what) {
        case deed::crash_target:
            world_.crash_target(c.a);
            return true;
        case deed::lose_answers:
            world_.lose_answers(c.a);
            return true;
        case deed::fail_loads:
            world_.fail_next_loads(1 + c.a % 4);
            return true;
        case deed::platform_down:
            world_.set_platform(sim::platform_mode::down);
            return true;
        case deed::platform_stale:
            world_.set_platform(sim::platform_mode::stale);
            return true;
        case deed::platform_up:
            world_.set_platform(sim::platform_mode::up);
            return true;
        case deed::partition:
            world_.partition(1 + c.a % (world_.instances() - 1));
            return true;
        case deed::heal:
            world_.heal();
            world_.set_loss(0.0);
            return true;
        case deed::lose_messages:
            world_.set_loss(0.1 * (1 + c.a % 3));
            return true;
        case deed::wait:
            world_.run_for(wait_unit * (1 + c.a % 16));
            return true;
        default:
            return false;
        }
    }

    void fail_instance(const command& c)
    {
        const std::size_t i = c.a % world_.instances();
        switch (c.what) {
        case deed::pause:
            world_.pause(i);
            return;
        case deed::wake:
            world_.wake(i);
            return;
        case deed::kill:
            world_.kill(i);
            return;
        case deed::stop:
            world_.stop(i);
            return;
        case deed::restart:
            world_.restart(i);
            return;
        case deed::skew:
            world_.skew(i, skew_bound * (c.b % 2 == 0 ? 1 : -1) / 2);
            return;
        default:
            return;
        }
    }

    void expect(std::uint64_t call, bool runs, std::string what)
    {
        expectations_.push_back({call, runs, std::move(what)});
    }

    [[nodiscard]] std::string judge() const
    {
        for (const expectation& e : expectations_) {
            const auto found = world_.results().find(e.call);
            if (found == world_.results().end()) {
                return "no outcome: " + e.what;
            }
            const bool ran =
                found->second.outcome == request_outcome::completed;
            if (ran != e.runs) {
                return std::string(ran ? "ran though it must not: "
                                       : "did not complete: ") +
                       e.what + " (" +
                       std::string(to_string(found->second.outcome)) + ", " +
                       std::string(to_string(found->second.reason)) + ")";
            }
        }
        return {};
    }

    sim::world_settings settings_;
    sim::world world_;
    oracle oracle_;
    std::vector<std::pair<request_id, duration>> ids_;
    std::vector<expectation> expectations_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_call_ = 0;
};

} // namespace

sim::world_settings small_fleet(std::uint64_t seed)
{
    sim::world_settings s;
    s.seed = seed;
    s.doubled = 0.05;
    s.jitter = 2ms;
    return s;
}

std::string run_case(const std::vector<command>& commands,
                     sim::world_settings settings)
{
    // The sides of a partition cannot warn each other of a crash: each has
    // its own bound.
    if (std::any_of(commands.begin(), commands.end(), [](const command& c) {
            return c.what == deed::partition;
        })) {
        settings.crash_limit *= 2;
    }
    driver d(settings);
    for (const command& c : commands) {
        d.apply(c);
    }
    std::string wrong = d.settle();
    if (wrong.empty()) {
        wrong = d.ask_everything();
    }
    const std::string broken = d.broken_rules();
    return broken + wrong;
}

} // namespace lovagegate::fuzz
