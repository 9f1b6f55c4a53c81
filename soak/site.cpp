#include "soak/site.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace lovagegate::soak {

namespace {

constexpr duration look_interval = 20ms;
/// Between two copies of the store, one of which may replace its contents.
constexpr duration copy_interval = 1s;
constexpr duration weigh_interval = 500ms;
/// A longer round of our own loop may look like a late instance.
constexpr duration own_delay_limit = 300ms;
/// Callers end what they have begun within this time.
constexpr duration closing_time = 6s;
/// Then nothing is open, and late runs have shown.
constexpr duration rest_time = 2s;
/// Descriptors at rest: kept connections to targets and the store among them.
constexpr std::size_t most_descriptors_at_rest = 150;

/// A loopback network of our own, so that soaks can't meet.
std::string address_of(std::size_t index)
{
    const auto pid = static_cast<unsigned>(::getpid());
    constexpr unsigned range = 200;
    constexpr unsigned first = 16;
    return "127." + std::to_string(first + pid / range % range) + "." +
           std::to_string(1 + pid % range) + "." + std::to_string(index + 2);
}

struct usual_route
{
    std::string_view prefix;
    std::string_view kind;
    work_kind does;
    bool to_engines = false;
};

constexpr std::array usual_routes{
    usual_route{"/once/", "non_idempotent", work_kind::once},
    usual_route{"/any/", "idempotent", work_kind::repeatable},
    usual_route{"/stream/", "streaming", work_kind::stream_once},
    usual_route{"/resume/", "streaming", work_kind::stream_resumable},
    usual_route{"/engine-once/", "streaming", work_kind::stream_once, true},
    usual_route{"/engine-resume/", "streaming", work_kind::stream_resumable,
                true}};

work draw_work(std::mt19937_64& random, const std::string& id)
{
    const auto draw = [&](std::uint64_t below) {
        return static_cast<int>(random() % below);
    };
    const usual_route& r = usual_routes[random() % usual_routes.size()];
    work w{id, std::string(r.prefix), r.does, 0, 0};
    const bool is_long = draw(30) == 0;
    if (is_stream(r.does)) {
        w.size = 1 + draw(is_long ? 40 : 15);
        w.work_ms = draw(is_long ? 120 : 30);
    } else {
        w.size = 1 + draw(is_long ? 5000 : 50);
        w.work_ms = draw(is_long ? 2000 : 60);
    }
    return w;
}

} // namespace

site::site(const soak_settings& s)
    : settings_(s), start_(net::event_loop::now().mono), last_look_(start_),
      judge_(calm_, stop_grace, [this](const auto& b) { report(b); }),
      configs_(calm_, [this](const auto& b) { report(b); }), store_(loop_),
      store_link_(loop_, {"127.0.0.1", store_.port()}),
      played_plan_(s.folder + "/plan.txt")
{
    publish_config();
    // Every other one is an engine.
    for (std::size_t i = 0; i < s.plan.targets; ++i)
        targets_.push_back(std::make_unique<soak_target>(
            loop_, store_, judge_, "t" + std::to_string(i), i % 2 == 1,
            s.plan.seed));
    add_instances();
    calm_.disturb(start_, start_ + start_time);
}

site::~site() = default;

time_point site::now() const
{
    return net::event_loop::now().mono;
}

void site::add_instances()
{
    const instance_events events{
        [this](const std::string& name) {
            configs_.on_started(name, now());
            judge_.notices().on_interrupted(name, now());
        },
        [this](const std::string& name) {
            judge_.on_stop(name, now());
            configs_.on_stop(name);
        },
        [this](const std::string& name, const std::string& seen,
               const std::string& expected) {
            report({now(), name, "", seen, expected});
        }};
    for (std::size_t i = 0; i < settings_.plan.instances; ++i)
        instances_.push_back(std::make_unique<instance>(
            loop_, settings_.program, settings_.folder,
            standins::instance_description{
                .name = "n" + std::to_string(i),
                .address = address_of(i),
                .seed = address_of(0),
                .store_port = store_link_.port(),
                .stop_grace_s = static_cast<int>(stop_grace / 1s),
                .drain_ms = static_cast<int>(drain_after_notice / 1ms)},
            events));
}

caller_habits site::usual_habits()
{
    caller_habits h;
    h.choose = [this](std::mt19937_64& random) {
        instance& i = *instances_[random() % instances_.size()];
        return way_in{i.name(), {"127.0.0.1", i.callers_link().port()}};
    };
    h.ask = draw_work;
    h.longest_pause = 60ms;
    h.long_pause_one_in = 20;
    h.leaves_one_in = 50;
    return h;
}

caller_habits site::questions_to(instance& i)
{
    caller_habits h;
    h.choose = [&i](std::mt19937_64&) { return way_in{i.name(), i.direct()}; };
    h.ask = [this](std::mt19937_64& random, const std::string& id) {
        const bool old = configs_.newest() > 1 && random() % 4 == 0;
        return work{id, marker_prefix(configs_.newest() - (old ? 1 : 0)),
                    work_kind::repeatable, 0, 1};
    };
    h.longest_pause = 200ms;
    h.on_answer = [this](const way_in& way, const work& w,
                         const answer_facts& f, time_point sent) {
        constexpr int ok = 200;
        constexpr int unknown = 404;
        if (f.status != ok && f.status != unknown)
            return;
        const auto version = version_of_marker(w);
        configs_.on_answer(way.instance, version, f.status == ok, sent, now());
    };
    return h;
}

void site::add_callers()
{
    std::mt19937_64 seeds(settings_.plan.seed);
    for (const auto& i : instances_) {
        for (std::size_t n = 0; n < settings_.callers_for_each_instance; ++n)
            callers_.push_back(std::make_unique<caller>(
                loop_, judge_, "c" + std::to_string(callers_.size()), seeds(),
                usual_habits()));
        callers_.push_back(std::make_unique<caller>(
            loop_, judge_, "q" + std::to_string(callers_.size()), seeds(),
            questions_to(*i)));
    }
}

void site::run()
{
    for (const auto& i : instances_)
        i->start();
    for (const auto& f : draw_plan(settings_.plan))
        loop_.call_later(f.at, [this, f] { play(f); });
    every(look_interval, [this] { look_after(); });
    every(weigh_interval, [this] { weigh(); });
    copy_store();
    every(copy_interval, [this] { copy_store(); });
    loop_.call_later(start_time, [this] { add_callers(); });
    const duration length = settings_.plan.length;
    loop_.call_later(length, [this] {
        for (const auto& c : callers_)
            c->stop();
    });
    loop_.call_later(length + closing_time, [this] {
        for (const auto& c : callers_)
            c->leave();
    });
    loop_.call_later(length + closing_time + rest_time, [this] {
        check_rest();
        loop_.stop();
    });
    loop_.run();
}

void site::publish_config()
{
    const std::uint64_t version = configs_.newest() + 1;
    write_config(version);
    configs_.on_acknowledged(version, now());
}

void site::write_config(std::uint64_t version)
{
    std::vector<standins::route_description> routes;
    routes.reserve(usual_routes.size() + 1);
    for (const auto& r : usual_routes)
        routes.push_back({std::string(r.prefix), std::string(r.kind),
                          r.does == work_kind::stream_resumable, r.to_engines});
    routes.push_back({marker_prefix(version), "idempotent", false});
    store_.put_config(standins::config_text(version, routes));
}

void site::look_after()
{
    const time_point t = now();
    if (t - last_look_ > own_delay_limit) {
        ++delays_of_our_own_;
        calm_.disturb(last_look_, t);
        for (const auto& i : instances_)
            excuse(*i);
    }
    last_look_ = t;
    for (const auto& i : instances_)
        i->poll();
    judge_.settle(t);
}

void site::weigh()
{
    for (const auto& i : instances_) {
        const auto size = i->size();
        if (!size)
            continue;
        largest_.resident_kb =
            std::max(largest_.resident_kb, size->resident_kb);
        largest_.descriptors =
            std::max(largest_.descriptors, size->descriptors);
        if (size->resident_kb > settings_.most_resident_kb)
            report(
                {now(), i->name(), "",
                 std::to_string(size->resident_kb) + " kB resident",
                 std::to_string(settings_.most_resident_kb) + " kB at most"});
    }
}

void site::check_rest()
{
    for (const auto& i : instances_)
        if (const auto size = i->size();
            size && size->descriptors > most_descriptors_at_rest)
            report({now(), i->name(), "",
                    std::to_string(size->descriptors) + " descriptors at rest",
                    std::to_string(most_descriptors_at_rest) + " at most"});
}

void site::report(const broken_promise& b)
{
    ++broken_;
    std::cout << "broken: seed " << settings_.plan.seed << ", second "
              << to_seconds(b.at - start_) << ", instance " << b.instance
              << ", request " << b.request << ": seen " << b.seen
              << "; expected " << b.expected << std::endl;
}

void site::every(duration interval, std::function<void()> fn)
{
    loop_.call_later(interval, [this, interval, fn = std::move(fn)]() mutable {
        fn();
        every(interval, std::move(fn));
    });
}

std::string site::summary() const
{
    const tally& t = judge_.counts();
    const notice_tally& n = judge_.notices().counts();
    std::ostringstream out;
    out << "seed " << settings_.plan.seed << ": " << t.sent << " sent, "
        << t.served << " served, " << t.refused << " refused, "
        << t.unknown_routes << " routes unknown, " << t.failed << " failed, "
        << t.lost << " lost (" << t.lost_in_calm << " in calm, " << t.crossed
        << " crossed a close), " << t.out_of_time << " out of time or left, "
        << t.runs << " runs; " << configs_.newest() << " configurations; "
        << n.leaving << " answers that a target leaves, " << n.passed_on
        << " lives known to leave, " << n.retry_after
        << " with Retry-After; at most " << largest_.resident_kb << " kB, "
        << largest_.descriptors << " descriptors; own delays "
        << delays_of_our_own_ << "; faults:";
    for (const auto& [f, times] : played_)
        out << ' ' << name_of(f) << ' ' << times;
    out << "; broken " << broken_;
    return out.str();
}

} // namespace lovagegate::soak
