#include "measure/baseline_policy.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::measure {

namespace {

constexpr duration report_interval = 1s;
/// A failed load or a lost engine is tried again after it.
constexpr duration retry_delay = 500ms;

} // namespace

baseline_policy::baseline_policy(site& s, baseline kind, std::uint64_t seed)
    : site_(s), kind_(kind), random_(seed ^ 0xba5eU), books_(s.engines()),
      reported_(s.engines()),
      own_(s.sizes().gateways, std::vector<std::size_t>(s.engines()))
{
}

run_results baseline_policy::run()
{
    if (site_.requests() > 0)
        site_.clock().at(site_.what(0).arrival, [this] { arrive(0); });
    if (kind_ == baseline::least_outstanding)
        report();
    return site_.run();
}

void baseline_policy::report()
{
    std::vector<std::size_t> counts;
    counts.reserve(books_.size());
    for (const engine_book& b : books_)
        counts.push_back(b.outstanding);
    site_.clock().after(site_.events().report_age,
                        [this, counts] { reported_ = counts; });
    site_.clock().after(report_interval, [this] { report(); });
}

void baseline_policy::arrive(std::size_t i)
{
    if (i + 1 < site_.requests())
        site_.clock().at(site_.what(i + 1).arrival,
                         [this, i] { arrive(i + 1); });
    route(i);
}

void baseline_policy::route(std::size_t i)
{
    const request& r = site_.what(i);
    const std::size_t engine = choose(r);
    ++own_[r.gateway][engine];
    site_.clock().after(site_.sizes().link,
                        [this, engine, i] { on_engine(engine, i); });
}

std::size_t baseline_policy::choose(const request& r)
{
    if (kind_ == baseline::random)
        return choose_random();
    if (kind_ == baseline::least_outstanding)
        return choose_least(r.gateway);
    return choose_rendezvous(r.adapter);
}

std::size_t baseline_policy::choose_random()
{
    std::size_t e = random_.below(site_.engines());
    while (site_.engine(e).down())
        e = (e + 1) % site_.engines();
    return e;
}

std::size_t baseline_policy::choose_least(std::size_t gateway)
{
    const std::size_t first = random_.below(site_.engines());
    std::size_t best = first;
    std::size_t best_count = SIZE_MAX;
    for (std::size_t k = 0; k < site_.engines(); ++k) {
        const std::size_t e = (first + k) % site_.engines();
        const std::size_t count = reported_[e] + own_[gateway][e];
        if (!site_.engine(e).down() && count < best_count) {
            best = e;
            best_count = count;
        }
    }
    return best;
}

std::size_t baseline_policy::choose_rendezvous(std::uint32_t adapter) const
{
    std::size_t best = 0;
    std::uint64_t heaviest = 0;
    for (std::size_t e = 0; e < site_.engines(); ++e) {
        const std::uint64_t w = combine_hash(adapter, e);
        if (!site_.engine(e).down() && w >= heaviest) {
            best = e;
            heaviest = w;
        }
    }
    return best;
}

void baseline_policy::on_engine(std::size_t engine, std::size_t i)
{
    const std::uint32_t adapter = site_.what(i).adapter;
    if (site_.engine(engine).down()) {
        --own_[site_.what(i).gateway][engine];
        site_.clock().after(retry_delay, [this, i] { route(i); });
        return;
    }
    engine_book& book = books_[engine];
    ++book.outstanding;
    if (site_.engine(engine).holds(adapter)) {
        start(engine, i);
        return;
    }
    site_.result(i).stalled = true;
    auto& pending = book.pending[adapter];
    if (pending.empty())
        book.wanted.push_back(adapter);
    pending.push_back(i);
    load_next(engine);
}

void baseline_policy::start(std::size_t engine, std::size_t i)
{
    const request& r = site_.what(i);
    books_[engine].last_use[r.adapter] = site_.clock().now();
    site_.adapter_ready(i);
    ++site_.result(i).runs;
    site_.engine(engine).submit(
        r.adapter, r.importance, r.tokens, [this, engine, i](run_event e) {
            if (e == run_event::first_token) {
                site_.first_token(i);
                return;
            }
            --books_[engine].outstanding;
            --own_[site_.what(i).gateway][engine];
            if (e == run_event::finished)
                site_.completed(i);
            else
                site_.clock().after(retry_delay, [this, i] { route(i); });
            // From outside the engine's step.
            site_.clock().after(duration::zero(),
                                [this, engine] { load_next(engine); });
        });
}

void baseline_policy::drop_late(std::size_t engine, std::uint32_t adapter)
{
    engine_book& book = books_[engine];
    auto& pending = book.pending[adapter];
    std::erase_if(pending, [&](std::size_t i) {
        if (site_.what(i).deadline >= site_.clock().now())
            return false;
        --book.outstanding;
        --own_[site_.what(i).gateway][engine];
        site_.not_run(i, refusal::deadline_unreachable);
        return true;
    });
    if (pending.empty())
        book.pending.erase(adapter);
}

bool baseline_policy::make_room(std::size_t engine)
{
    fake_engine& e = site_.engine(engine);
    if (e.taken_slots() < site_.sizes().slots)
        return true;
    const engine_book& book = books_[engine];
    std::uint32_t victim = 0;
    time_point oldest = time_point::max();
    for (const auto& held : e.resident()) {
        const auto used = book.last_use.find(held.adapter);
        const time_point last =
            used == book.last_use.end() ? time_point{} : used->second;
        if (held.running == 0 && last < oldest) {
            victim = held.adapter;
            oldest = last;
        }
    }
    return oldest != time_point::max() && e.unload(victim);
}

void baseline_policy::load_next(std::size_t engine)
{
    engine_book& book = books_[engine];
    if (site_.engine(engine).down()) {
        lost_engine(engine);
        return;
    }
    while (!book.wanted.empty()) {
        const std::uint32_t adapter = book.wanted.front();
        drop_late(engine, adapter);
        if (!book.pending.contains(adapter)) {
            book.wanted.pop_front();
            continue;
        }
        if (!make_room(engine))
            return;
        book.wanted.pop_front();
        site_.engine(engine).load(adapter, [this, engine, adapter](bool ok) {
            loaded(engine, adapter, ok);
        });
    }
}

void baseline_policy::lost_engine(std::size_t engine)
{
    engine_book& book = books_[engine];
    book.wanted.clear();
    for (const auto& [adapter, waiting] : book.pending) {
        for (const std::size_t i : waiting) {
            --book.outstanding;
            --own_[site_.what(i).gateway][engine];
            site_.clock().after(retry_delay, [this, i] { route(i); });
        }
    }
    book.pending.clear();
}

void baseline_policy::loaded(std::size_t engine, std::uint32_t adapter, bool ok)
{
    engine_book& book = books_[engine];
    if (!ok) {
        site_.clock().after(retry_delay, [this, engine, adapter] {
            if (books_[engine].pending.contains(adapter))
                books_[engine].wanted.push_back(adapter);
            load_next(engine);
        });
        return;
    }
    drop_late(engine, adapter);
    book.last_use[adapter] = site_.clock().now();
    const auto it = book.pending.find(adapter);
    if (it != book.pending.end()) {
        const auto waiting = std::move(it->second);
        book.pending.erase(it);
        for (const std::size_t i : waiting)
            start(engine, i);
    }
    load_next(engine);
}

} // namespace lovagegate::measure
