#ifndef LOVAGEGATE_TESTS_CAPACITY_PERMIT_SIMULATION_HPP
#define LOVAGEGATE_TESTS_CAPACITY_PERMIT_SIMULATION_HPP

#include "lovagegate/capacity/permit_client.hpp"
#include "lovagegate/capacity/permit_coordinator.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagegate::capacity {

/// A source of requests of one kind and workspace.
struct demand
{
    double per_second = 0;
    std::uint64_t workspace = 0;
    std::uint64_t kind = 1;
    std::uint32_t priority = 0;
    /// Factor of the rate between the two times.
    double surge = 1;
    duration surge_from{};
    duration surge_to{};
};

/// What callers got.
struct service_count
{
    std::size_t requests = 0; ///< first attempts
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0; ///< finally
    std::vector<duration> times{};

    [[nodiscard]] double share_in_time() const
    {
        return static_cast<double>(in_time) /
               static_cast<double>(std::max<std::size_t>(1, requests));
    }
    [[nodiscard]] duration quantile(double q)
    {
        if (times.empty())
            return {};
        std::ranges::sort(times);
        return times.at(static_cast<std::size_t>(
            q * static_cast<double>(times.size() - 1)));
    }
};

struct simulation_settings
{
    std::size_t instances = 75;
    std::size_t targets = 3;
    std::uint32_t slots = 6;
    std::size_t target_queue = 24;
    duration run_time = 60ms;
    duration objective = 300ms;
    duration deadline = 4s;
    duration min_delay = 500us; ///< of a datagram
    duration max_delay = 2ms;
    double loss = 0;
    double duplication = 0;
    /// Without permits, each instance chooses a target by chance.
    bool permits = true;
    /// Share of the instances that read answers up to so much later, because
    /// they get little of a core.
    double slow_instances = 0;
    duration slow_delay{};
    std::vector<demand> demands;
    std::uint64_t seed = 1;
};

/// Instances, callers and the targets of one plain service on a virtual clock.
class permit_simulation
{
public:
    explicit permit_simulation(simulation_settings s)
        : settings_(std::move(s)), random_(settings_.seed)
    {
        for (std::size_t i = 0; i < settings_.targets; ++i) {
            targets_.emplace_back();
            listed_.push_back({"t" + std::to_string(i), settings_.slots});
        }
        for (std::size_t i = 0; i < settings_.instances; ++i)
            nodes_.push_back(std::make_unique<node>(random_()));
        coordinator_of_.resize(settings_.instances, 0);
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            schedule_tick(i);
        for (const auto& d : settings_.demands)
            schedule_arrival(d);
    }

    void run(duration length)
    {
        const time_point end = now_ + length;
        while (!events_.empty() && events_.top().at <= end) {
            auto e = events_.top();
            events_.pop();
            now_ = std::max(now_, e.at);
            e.fn();
        }
        now_ = end;
    }

    /// Stops counting what came before.
    void reset_counts()
    {
        counts_.clear();
        counted_from_ = now_;
        rejections = 0;
        datagrams = 0;
        peak_running = 0;
    }

    /// The instance neither sends nor receives until thawed.
    void freeze(std::size_t i) { nodes_[i]->frozen = true; }
    void thaw(std::size_t i)
    {
        node& n = *nodes_[i];
        n.frozen = false;
        for (auto& fn : std::exchange(n.held_back, {}))
            fn();
    }
    /// The target takes requests and doesn't answer any more.
    void freeze_target(std::size_t i) { targets_[i].frozen = true; }
    /// The instance ends and loses all that it knew.
    void end(std::size_t i) { nodes_[i]->ended = true; }
    /// The instances from..to ask another coordinator.
    void assign(std::size_t from, std::size_t to, std::size_t coordinator)
    {
        for (std::size_t i = from; i < to; ++i)
            coordinator_of_[i] = coordinator;
    }

    service_count total() const
    {
        return sum([](const auto&) { return true; });
    }
    service_count of_workspace(std::uint64_t w) const
    {
        return sum([&](const auto& k) { return k.first == w; });
    }
    service_count of_kind(std::uint64_t kind) const
    {
        return sum([&](const auto& k) { return k.second == kind; });
    }
    permit_coordinator& coordinator(std::size_t i)
    {
        return nodes_[i]->coordinator;
    }
    const counters& counts(std::size_t i) const { return nodes_[i]->counts; }
    std::uint64_t sum_of_counts(std::string_view name) const
    {
        std::uint64_t out = 0;
        for (const auto& n : nodes_)
            out += n->counts.count(name);
        return out;
    }
    time_point now() const { return now_; }

    std::size_t datagrams = 0;
    std::size_t rejections = 0;  ///< by targets
    std::size_t double_runs = 0; ///< requests that were run twice
    std::size_t peak_running = 0;

private:
    struct node
    {
        explicit node(std::uint64_t seed)
            : client(counts, seed), coordinator(counts, seed)
        {
        }
        counters counts;
        permit_client client;
        permit_coordinator coordinator;
        bool frozen = false;
        bool ended = false;
        std::vector<std::function<void()>> held_back;
    };

    struct call
    {
        const demand* d = nullptr;
        time_point first_attempt{};
        time_point deadline{};
        std::size_t attempts = 0;
        std::size_t rejections = 0; ///< of this attempt
        std::size_t runs = 0;
    };
    using call_ptr = std::shared_ptr<call>;

    struct work
    {
        std::function<void(bool)> done;
    };
    struct fake_target
    {
        std::uint32_t running = 0;
        bool frozen = false;
        std::deque<work> queue;
    };

    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> fn;
        bool operator<(const event& o) const
        {
            return std::tie(at, order) > std::tie(o.at, o.order);
        }
    };

    using count_key = std::pair<std::uint64_t, std::uint64_t>;

    template <typename Filter>
    service_count sum(Filter filter) const
    {
        service_count out;
        for (const auto& [key, c] : counts_) {
            if (!filter(key))
                continue;
            out.requests += c.requests;
            out.in_time += c.in_time;
            out.late += c.late;
            out.refused += c.refused;
            out.times.insert(out.times.end(), c.times.begin(), c.times.end());
        }
        return out;
    }

    void at(time_point t, std::function<void()> fn)
    {
        events_.push({t, ++order_, std::move(fn)});
    }

    void schedule_arrival(const demand& d)
    {
        const duration since = now_.time_since_epoch();
        const bool surges = since >= d.surge_from && since < d.surge_to;
        const double rate = d.per_second * (surges ? d.surge : 1);
        const double gap = std::exponential_distribution<double>(rate)(random_);
        at(now_ + from_seconds(gap), [this, &d] {
            auto c = std::make_shared<call>();
            c->d = &d;
            c->first_attempt = now_;
            c->deadline = now_ + settings_.deadline;
            ++count(*c).requests;
            attempt(c);
            schedule_arrival(d);
        });
    }

    service_count& count(const call& c)
    {
        return counts_[{c.d->workspace, c.d->kind}];
    }

    std::size_t random_instance()
    {
        std::size_t i = 0;
        do
            i = std::uniform_int_distribution<std::size_t>(0, nodes_.size() -
                                                                  1)(random_);
        while (nodes_[i]->ended || nodes_[i]->frozen);
        return i;
    }

    void attempt(const call_ptr& c)
    {
        ++c->attempts;
        c->rejections = 0;
        choose_target(random_instance(), c);
    }

    void choose_target(std::size_t i, const call_ptr& c)
    {
        node& n = *nodes_[i];
        if (!settings_.permits) {
            send(i, c, 0, random_target());
            return;
        }
        const permit_question q{"s",
                                c->d->priority,
                                c->d->workspace,
                                c->d->kind,
                                c->first_attempt + settings_.objective - now_,
                                c->deadline - now_};
        auto number = std::make_shared<std::uint64_t>(0);
        *number = n.client.ask(
            q, address(coordinator_of_[i]),
            [this, i, c, number](const permit_decision& d) {
                using action = permit_decision::action;
                if (d.what == action::refuse)
                    refused(c, d.retry_after);
                else if (d.what == action::send_anywhere)
                    send(i, c, 0, random_target());
                else
                    send(i, c, *number, d.target);
            },
            now_);
        if (*number == 0)
            send(i, c, 0, random_target());
        flush(i);
    }

    std::string random_target()
    {
        return "t" + std::to_string(std::uniform_int_distribution<std::size_t>(
                         0, settings_.targets - 1)(random_));
    }

    void refused(const call_ptr& c, duration retry_after)
    {
        if (c->attempts < 2 && now_ + retry_after < c->deadline) {
            at(now_ + retry_after, [this, c] { attempt(c); });
            return;
        }
        if (c->first_attempt >= counted_from_)
            ++count(*c).refused;
    }

    void send(std::size_t i, const call_ptr& c, std::uint64_t number,
              const std::string& target)
    {
        const time_point sent = now_;
        // The way to the target takes half a millisecond, and the way back.
        at(now_ + 500us, [this, i, c, number, target, sent] {
            arrive(target, c, [this, i, c, number, sent](bool served) {
                at(now_ + 500us + own_delay(i),
                   [this, i, c, number, sent, served] {
                       end_run(i, c, number, sent, served);
                   });
            });
        });
    }

    duration own_delay(std::size_t i)
    {
        const auto slow = static_cast<std::size_t>(
            settings_.slow_instances * static_cast<double>(nodes_.size()));
        return i == 0 || i > slow
                   ? duration::zero()
                   : duration(std::uniform_int_distribution<duration::rep>(
                         0, settings_.slow_delay.count())(random_));
    }

    void arrive(const std::string& target, const call_ptr& c,
                std::function<void(bool)> done)
    {
        fake_target& t =
            targets_.at(static_cast<std::size_t>(std::stoul(target.substr(1))));
        if (t.running >= settings_.slots) {
            if (t.queue.size() >= settings_.target_queue) {
                ++rejections;
                done(false);
                return;
            }
            if (++c->runs > 1)
                ++double_runs;
            t.queue.push_back({std::move(done)});
            return;
        }
        if (++c->runs > 1)
            ++double_runs;
        start(t, {std::move(done)});
    }

    void start(fake_target& t, work w)
    {
        ++t.running;
        peak_running = std::max<std::size_t>(peak_running, t.running);
        at(now_ + settings_.run_time, [this, &t, w = std::move(w)] {
            if (t.frozen)
                return;
            --t.running;
            if (!t.queue.empty()) {
                work next = std::move(t.queue.front());
                t.queue.pop_front();
                start(t, std::move(next));
            }
            w.done(true);
        });
    }

    void end_run(std::size_t i, const call_ptr& c, std::uint64_t number,
                 time_point sent, bool served)
    {
        using gateway::permit_outcome;
        node& n = *nodes_[i];
        if (!n.ended && !n.frozen && settings_.permits) {
            if (number != 0)
                n.client.release(number,
                                 served ? permit_outcome::answered
                                        : permit_outcome::rejected,
                                 now_ - sent, now_);
            else
                n.client.on_unpermitted_end("s",
                                            served ? permit_outcome::answered
                                                   : permit_outcome::rejected,
                                            now_ - sent);
            flush(i);
        }
        if (!served) {
            // As an instance does: another target, then a refusal.
            constexpr std::size_t max_rejections = 3;
            if (++c->rejections < max_rejections && !n.ended)
                choose_target(i, c);
            else
                refused(c, 700ms);
            return;
        }
        if (c->first_attempt < counted_from_)
            return;
        const duration took = now_ - c->first_attempt;
        service_count& s = count(*c);
        s.times.push_back(took);
        ++(took <= settings_.objective ? s.in_time : s.late);
    }

    static std::string address(std::size_t i) { return std::to_string(i); }

    void flush(std::size_t i)
    {
        node& n = *nodes_[i];
        for (auto& m : n.client.take_messages())
            deliver(i, m);
        for (auto& m : n.coordinator.take_messages())
            deliver(i, m);
    }

    void deliver(std::size_t from, const outgoing_message& m)
    {
        if (nodes_[from]->ended || nodes_[from]->frozen)
            return;
        ++datagrams;
        std::uniform_real_distribution<double> chance(0, 1);
        const std::size_t to = std::stoul(m.to);
        const int copies = chance(random_) < settings_.loss          ? 0
                           : chance(random_) < settings_.duplication ? 2
                                                                     : 1;
        for (int k = 0; k < copies; ++k) {
            const duration delay(std::uniform_int_distribution<duration::rep>(
                settings_.min_delay.count(),
                settings_.max_delay.count())(random_));
            // Encoded, so that the codec is tested as well.
            at(now_ + delay,
               [this, from, to, bytes = gateway::encode(m.message)] {
                   receive(from, to, bytes);
               });
        }
    }

    void receive(std::size_t from, std::size_t to, const std::string& bytes)
    {
        node& n = *nodes_[to];
        if (n.ended)
            return;
        if (n.frozen) {
            n.held_back.push_back(
                [this, from, to, bytes] { receive(from, to, bytes); });
            return;
        }
        const auto message = gateway::decode(bytes);
        if (!message)
            throw std::logic_error("a message was not decoded");
        n.coordinator.set_targets(listed_);
        using namespace gateway;
        if (const auto* r = std::get_if<place_request>(&*message))
            n.coordinator.on_request(address(from), *r, now_);
        else if (const auto* g = std::get_if<place_grant>(&*message))
            n.client.on_message(address(from), *g, now_);
        else if (const auto* f = std::get_if<place_refusal>(&*message))
            n.client.on_message(address(from), *f, now_);
        else if (const auto* e = std::get_if<place_release>(&*message))
            n.coordinator.on_release(address(from), e->entries, now_);
        flush(to);
    }

    void schedule_tick(std::size_t i)
    {
        constexpr duration interval = 2ms;
        constexpr int ticks_for_coordinator = 5;
        at(now_ + interval, [this, i] {
            node& n = *nodes_[i];
            if (n.ended)
                return;
            if (!n.frozen) {
                const auto due = n.client.next_tick();
                if (due && *due <= now_)
                    n.client.tick(now_);
                if (++n_ticks_[i] % ticks_for_coordinator == 0 &&
                    n.coordinator.is_active())
                    n.coordinator.tick(now_);
                flush(i);
            }
            schedule_tick(i);
        });
    }

    simulation_settings settings_;
    std::mt19937_64 random_;
    time_point now_ = time_point(1s);
    time_point counted_from_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::deque<fake_target> targets_;
    std::vector<permit_target> listed_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<std::size_t, int> n_ticks_;
    std::vector<std::size_t> coordinator_of_;
    std::map<count_key, service_count> counts_;
};

} // namespace lovagegate::capacity

#endif
