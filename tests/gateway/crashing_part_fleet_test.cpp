#include "lovagegate/gateway/crash_reports.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <span>

using namespace lovagegate;
using namespace lovagegate::gateway;
using crashes::crash_traits;

namespace {

constexpr fingerprint first_part = 1;  ///< in all prompts
constexpr fingerprint middle_part = 2; ///< in some, sound ones too
constexpr fingerprint crashing_part = 3;

/// Bounds that the operators of the platform set.
constexpr std::size_t free_crashes = 5;
constexpr duration stable_window = 3s;
constexpr std::size_t max_late_sends = 3;

struct fleet_options
{
    std::size_t instances = 9;
    std::size_t engines = 12;
    double requests_per_s = 90;
    double crashing_share = 0.25;
    /// Share of the requests whose prompts hold middle_part.
    double middle_share = 0;
    duration for_time = 30s;
    std::size_t sends_per_request = 2;
    double lost_datagrams = 0.01;
    /// Until the crashes begin, engines answer requests with the part.
    bool answered_before = false;
    /// From one restart of an instance to that of the next; zero: none.
    duration restart_interval{};
};

bool is_rejected(crash_verdict v)
{
    return v != crash_verdict::harmless &&
           v != crash_verdict::may_try_prompt_part;
}

/// Plays instances that send requests to engines, on a virtual clock. Some
/// requests share a part that crashes each engine which begins to answer it.
class crashing_part_fleet
{
public:
    crashing_part_fleet(fleet_options o, std::uint64_t seed)
        : options_(o), random_(seed), engines_(o.engines)
    {
        for (std::size_t i = 0; i < o.instances; ++i)
            start_instance(i);
        at(begin_, [this] { arrive(); });
        at(begin_, [this] { repeat_reports(); });
        if (o.restart_interval > 0s)
            at(begin_ + o.restart_interval, [this] { restart(0); });
    }

    /// Plays the whole time.
    void play()
    {
        while (!events_.empty() &&
               events_.top().at < begin_ + options_.for_time) {
            now_ = events_.top().at;
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
    }

    [[nodiscard]] std::size_t crashes() const { return crashes_.size(); }

    /// @return sends of crashing requests that are over the bound's free ones
    [[nodiscard]] std::size_t late_sends() const
    {
        if (crashes_.size() < free_crashes)
            return 0;
        const time_point bound = crashes_.at(free_crashes - 1) + stable_window;
        return static_cast<std::size_t>(std::ranges::count_if(
            crashing_sends_, [&](time_point t) { return t > bound; }));
    }

    /// @return sound requests of the last ten seconds that were rejected
    ///         because of their prompts
    [[nodiscard]] std::size_t sound_rejected_late() const
    {
        return count_late(sound_rejected_);
    }

    /// @return all sound requests of the last ten seconds
    [[nodiscard]] std::size_t sound_late() const { return count_late(sound_); }

private:
    [[nodiscard]] std::size_t
    count_late(std::span<const time_point> times) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(times, [&](time_point t) {
                return t > begin_ + options_.for_time - 10s;
            }));
    }

    struct request
    {
        crash_traits traits;
        bool crashing = false;
        std::size_t sends = 0;
    };

    struct running
    {
        std::size_t instance = 0;
        std::shared_ptr<request> what;
        bool answer_begun = false;
        bool is_trial = false;
    };

    struct engine
    {
        std::uint64_t start = 1;
        bool up = true;
        std::map<std::uint64_t, running> requests;
    };

    struct event
    {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& o) const
        {
            return std::tie(at, order) > std::tie(o.at, o.order);
        }
    };

    void at(time_point t, std::function<void()> action)
    {
        events_.push({t, ++order_, std::move(action)});
    }

    duration between(duration low, duration high)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            low.count(), high.count())(random_));
    }

    bool happens(double share)
    {
        return std::bernoulli_distribution(share)(random_);
    }

    std::size_t any(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }

    [[nodiscard]] std::string run_of(std::size_t e) const
    {
        return engine_run("e" + std::to_string(e),
                          static_cast<std::int64_t>(engines_[e].start));
    }

    void start_instance(std::size_t i)
    {
        reports_.resize(std::max(reports_.size(), i + 1));
        reports_[i] = std::make_unique<crash_reports>(
            counts_,
            crash_reports::callbacks{
                [this, i](const peer_message& m) {
                    for (std::size_t to = 0; to < reports_.size(); ++to)
                        post(i, to, m);
                },
                [this, i](const std::string& to, const peer_message& m) {
                    post(i, std::stoul(to), m);
                },
                [this, i](const peer_message& m) {
                    for (int n = 0; n < 4; ++n)
                        post(i, any(reports_.size()), m);
                },
                [this, i] { at(now_, [this, i] { cancel(i); }); },
                [i] { return i; }});
    }

    void post(std::size_t from, std::size_t to, const peer_message& m)
    {
        if (from == to || happens(options_.lost_datagrams))
            return;
        at(now_ + between(1ms, 3ms), [this, from, to, m] {
            crash_reports& r = *reports_.at(to);
            if (const auto* notice = std::get_if<crash_notice>(&m))
                r.on_message(*notice, now_);
            if (const auto* answered = std::get_if<answered_prompt_parts>(&m))
                r.on_message(*answered, now_);
            if (const auto* blocked = std::get_if<blocked_prompt_parts>(&m))
                r.on_message(std::to_string(from), *blocked, now_);
            if (const auto* digest = std::get_if<crash_digest>(&m))
                r.on_message(std::to_string(from), *digest, now_);
        });
    }

    /// Starts instances anew in turn. Their requests at engines are cut.
    void restart(std::size_t i)
    {
        for (auto& e : engines_)
            std::erase_if(e.requests, [&](const auto& item) {
                return item.second.instance == i;
            });
        start_instance(i);
        for (std::size_t n = 1; n <= 3; ++n)
            reports_[i]->ask(std::to_string((i + n) % reports_.size()), now_);
        at(now_ + options_.restart_interval,
           [this, i] { restart((i + 1) % reports_.size()); });
    }

    /// Cancels requests of an instance that wait at engines, as it does when a
    /// part is blocked.
    void cancel(std::size_t i)
    {
        for (auto& e : engines_)
            std::erase_if(e.requests, [&](const auto& item) {
                const running& r = item.second;
                return r.instance == i && !r.answer_begun && !r.is_trial &&
                       is_rejected(reports_[i]->verdict(r.what->traits, now_));
            });
    }

    void repeat_reports()
    {
        for (auto& r : reports_) {
            r->repeat(std::to_string(any(reports_.size())), now_);
            r->expire(now_);
        }
        at(now_ + 400ms, [this] { repeat_reports(); });
    }

    void arrive()
    {
        auto r = std::make_shared<request>();
        const fingerprint id = ++requests_ + 1000;
        r->crashing = now_ > begin_ + 2s && happens(options_.crashing_share);
        r->traits = {id, id, {first_part}};
        if (happens(options_.middle_share))
            r->traits.prompt_parts.push_back(middle_part);
        const bool harmless_yet = options_.answered_before &&
                                  now_ <= begin_ + 2s &&
                                  happens(options_.crashing_share);
        if (r->crashing || harmless_yet)
            r->traits.prompt_parts.push_back(crashing_part);
        if (!r->crashing)
            sound_.push_back(now_);
        send(any(reports_.size()), r);
        at(now_ + duration(static_cast<duration::rep>(
                      std::exponential_distribution<double>(
                          options_.requests_per_s)(random_) *
                      1e6)),
           [this] { arrive(); });
    }

    void send(std::size_t i, const std::shared_ptr<request>& what)
    {
        if (what->sends >= options_.sends_per_request)
            return;
        if (is_rejected(reports_[i]->verdict(what->traits, now_))) {
            if (!what->crashing)
                sound_rejected_.push_back(now_);
            return;
        }
        for (int attempt = 0; attempt < 4; ++attempt) {
            const std::size_t e = any(engines_.size());
            if (!engines_[e].up) {
                reports_[i]->on_connection_refused(run_of(e), now_);
                continue;
            }
            ++what->sends;
            begin(e, i, what);
            return;
        }
    }

    void begin(std::size_t e, std::size_t i,
               const std::shared_ptr<request>& what)
    {
        const std::uint64_t number = ++runs_;
        const bool is_trial = reports_[i]->verdict(what->traits, now_) ==
                              crash_verdict::may_try_prompt_part;
        if (is_trial)
            reports_[i]->begin_trial(what->traits, "", now_);
        engines_[e].requests.emplace(number, running{i, what, false, is_trial});
        if (what->crashing)
            crashing_sends_.push_back(now_);
        const std::uint64_t start = engines_[e].start;
        at(now_ + between(30ms, 150ms), [this, e, number, start] {
            const auto it = engines_[e].requests.find(number);
            if (engines_[e].start != start || it == engines_[e].requests.end())
                return;
            if (it->second.what->crashing)
                crash(e);
            else
                answer(e, number);
        });
    }

    void answer(std::size_t e, std::uint64_t number)
    {
        running& r = engines_[e].requests.at(number);
        r.answer_begun = true;
        reports_[r.instance]->on_answer_begun(r.what->traits, now_);
        at(now_ + 800ms, [this, e, number] {
            const auto it = engines_[e].requests.find(number);
            if (it == engines_[e].requests.end())
                return;
            const running ended = it->second;
            engines_[e].requests.erase(it);
            reports_[ended.instance]->on_begun_answer_ended(ended.what->traits,
                                                            now_);
        });
    }

    void crash(std::size_t e)
    {
        crashes_.push_back(now_);
        engine& lost = engines_[e];
        const std::string run = run_of(e);
        const auto broken = std::exchange(lost.requests, {});
        lost.up = false;
        for (const auto& [number, r] : broken) {
            reports_[r.instance]->on_connection_broken(r.what->traits, run,
                                                       r.answer_begun, now_);
            const running again = r;
            at(now_, [this, again] {
                reports_[again.instance]->send_notices();
                if (!again.answer_begun)
                    send(again.instance, again.what);
            });
        }
        at(now_ + between(2s, 6s), [this, e, run] {
            ++engines_[e].start;
            engines_[e].up = true;
            for (auto& r : reports_)
                r->on_run_ended(run, now_);
        });
    }

    fleet_options options_;
    std::mt19937_64 random_;
    counters counts_;
    std::vector<std::unique_ptr<crash_reports>> reports_;
    std::vector<engine> engines_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::uint64_t runs_ = 0;
    fingerprint requests_ = 0;
    const time_point begin_{100s};
    time_point now_{100s};
    std::vector<time_point> crashes_;
    std::vector<time_point> crashing_sends_;
    std::vector<time_point> sound_;
    std::vector<time_point> sound_rejected_;
};

/// Plays many seeds and checks the operators' bound in each.
void check_bound(const fleet_options& o)
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        crashing_part_fleet f(o, seed);
        f.play();
        CAPTURE(f.crashes());
        CHECK(f.late_sends() <= max_late_sends);
        CHECK(f.sound_rejected_late() == 0);
    }
}

} // namespace

TEST_CASE("requests with a crashing prompt part stop for good when many crash "
          "engines at once",
          "[gateway]")
{
    check_bound({});
}

TEST_CASE("a sound prompt part that occurs with a crashing one is served again "
          "while that one stays blocked",
          "[gateway]")
{
    check_bound({.middle_share = 0.4});
}

TEST_CASE("requests with a crashing prompt part stop for good when they are "
          "rare and each is sent again",
          "[gateway]")
{
    check_bound({.requests_per_s = 20,
                 .crashing_share = 0.03,
                 .for_time = 90s,
                 .sends_per_request = 3});
}

TEST_CASE("sound requests are served again when few engines are left to a "
          "crashing prompt part",
          "[gateway]")
{
    check_bound({.engines = 3,
                 .requests_per_s = 20,
                 .crashing_share = 0.5,
                 .middle_share = 0.5});
}

TEST_CASE("requests with a crashing prompt part stop for good although many "
          "datagrams are lost",
          "[gateway]")
{
    check_bound({.lost_datagrams = 0.2});
}

TEST_CASE("requests with a prompt part that engines answered before it crashes "
          "them stop for good",
          "[gateway]")
{
    check_bound({.answered_before = true});
}

TEST_CASE("requests with a crashing prompt part stop for good while instances "
          "are restarted in turn",
          "[gateway]")
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        crashing_part_fleet f({.restart_interval = 1300ms}, seed);
        f.play();
        CAPTURE(f.crashes(), f.sound_rejected_late());
        CHECK(f.late_sends() <= max_late_sends);
        // The operators' bound: half as many as without disturbance. An
        // instance that has just started may lack an answer that clears a part.
        CHECK(2 * f.sound_rejected_late() <= f.sound_late());
    }
}
