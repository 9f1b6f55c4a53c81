#include "tests/sim/world.hpp"

#include "lovagegate/history/json_lines.hpp"
#include "tests/sim/site.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace lovagegate::sim {

namespace {

/// How often the platform looks whether a watch can be answered.
constexpr duration read_check = 100ms;

} // namespace

world::world(world_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed),
      checker_({5s, 13s, settings_.crash_limit, store_rate, 10s}),
      platform_(settings_.list_lag)
{
    const auto recorder = [this](history::event_body body) {
        record(std::move(body));
    };
    const std::size_t targets = settings_.engines + settings_.plain_targets;
    for (std::size_t t = 0; t < targets; ++t) {
        const target_id id = target_name(t, settings_.engines);
        target_settings ts;
        ts.slots = engine_slots;
        ts.checks_fencing = checks_fencing(t);
        targets_.emplace_back(
            id, std::make_unique<fake_target>(id, ts, queue_, recorder));
    }
    slots_.resize(settings_.instances);
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        slots_[i].id = instance_id("i" + std::to_string(i));
        begin(slots_[i]);
    }
    list_instances();
    every(node::tick_interval, [this] { tick_all(); });
    every(read_check, [this] { answer_reads(); });
}

// ---- the run ----

void world::every(duration period, event_queue::action what)
{
    queue_.after(period, [this, period, what = std::move(what)] {
        what();
        every(period, what);
    });
}

void world::record(history::event_body body)
{
    const history::event e{queue_.now(), std::move(body)};
    if (settings_.recorder != nullptr) {
        *settings_.recorder << history::to_line(e) << '\n';
    }
    checker_.add(e);
}

void world::stage(const slot& s, history::stage now)
{
    record(history::instance_stage{s.id, s.start, now});
}

instant world::instant_of(const slot& s) const
{
    // Each process has its own monotonic clock: they start apart.
    const duration mono = queue_.now() + s.start * 1000s;
    const auto wall =
        epoch +
        std::chrono::duration_cast<std::chrono::milliseconds>(queue_.now()) +
        s.skew;
    return {time_point(mono), wall_time(wall)};
}

void world::step(std::size_t instance, const node::input& input)
{
    slot& s = slots_[instance];
    if (!s.core) {
        return;
    }
    if (s.paused) {
        if (!std::holds_alternative<node::tick>(input)) {
            s.inbox.push_back(input);
        }
        return;
    }
    node::outbox out;
    s.core->step(input, instant_of(s), out);
    note_state(s);
    carry_out(instance, std::move(out));
}

void world::carry_out(std::size_t instance, node::outbox outputs)
{
    for (const node::output& o : outputs) {
        if (!slots_[instance].core) {
            return;
        }
        std::visit([&](const auto& each) { carry(instance, each); }, o);
    }
}

void world::deliver(std::size_t instance, duration wait, node::input input)
{
    queue_.after(wait, [this, instance, start = slots_[instance].start,
                        input = std::move(input)] {
        if (slots_[instance].start == start) {
            step(instance, input);
        }
    });
}

void world::tick_all()
{
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        step(i, node::tick{});
    }
}

void world::answer_reads()
{
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        for (const open_read& r : std::exchange(slots_[i].reads, {})) {
            if (!answer_read(i, r)) {
                slots_[i].reads.push_back(r);
            }
        }
    }
}

bool world::answer_read(std::size_t i, const open_read& r)
{
    slot& s = slots_[i];
    if (platform_.mode() == platform_mode::down) {
        deliver(i, settings_.link, node::platform_unavailable{r.part});
        return true;
    }
    const bool expired = queue_.now() >= r.until;
    if (r.part == node::platform_part::tickets) {
        node::published_tickets answer = platform_.tickets();
        if (!expired && answer.index <= s.ticket_index) {
            return false;
        }
        s.ticket_index = answer.index;
        note_read_tickets();
        deliver(i, settings_.link, std::move(answer));
        return true;
    }
    node::instance_list answer = platform_.instances(queue_.now());
    if (!expired && answer.index <= s.list_index) {
        return false;
    }
    s.list_index = answer.index;
    answer.asked = r.asked;
    deliver(i, settings_.link, std::move(answer));
    return true;
}

// ---- look-ups ----

bool world::serving(std::size_t instance) const
{
    const slot& s = slots_[instance];
    return s.core && !s.paused && !s.stopping && s.ready;
}

ticket_number world::ticket_of(std::size_t instance) const
{
    return slots_[instance].ticket;
}

bool world::connected(std::size_t a, std::size_t b) const
{
    return partition_ == 0 || (a < partition_) == (b < partition_);
}

std::size_t world::index_of(const instance_id& id) const
{
    const auto found =
        std::find_if(slots_.begin(), slots_.end(),
                     [&id](const slot& s) { return s.id == id; });
    return static_cast<std::size_t>(found - slots_.begin());
}

fake_target* world::find(const target_id& id)
{
    for (auto& [name, target] : targets_) {
        if (name == id) {
            return target.get();
        }
    }
    return nullptr;
}

bool world::chance(double share)
{
    return std::uniform_real_distribution<double>()(random_) < share;
}

} // namespace lovagegate::sim
