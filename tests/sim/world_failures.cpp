#include "tests/sim/world.hpp"

#include "tests/sim/site.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::sim {

void world::begin(slot& s)
{
    s.start = ++last_start_;
    s.core = std::make_unique<node::node>(
        settings_.node, s.id, s.start, settings_.seed + s.start, instant_of(s));
    s.paused = s.stopping = s.ready = s.isolated = false;
    s.ticket = 0;
    s.ticket_index = s.list_index = 0;
    stage(s, history::stage::begun);
}

void world::end(slot& s, history::stage how)
{
    stage(s, how);
    for (auto& [id, c] : std::exchange(s.calls, {})) {
        record(history::cut_off{s.id, s.start, id, c.plan.request, false});
        if (c.run != 0) {
            find(c.target)->abandon(c.run);
        }
    }
    s.core.reset();
    s.inbox.clear();
    s.reads.clear();
    s.start = ++last_start_; // what is still under way belongs to nobody
    list_instances();
}

void world::list_instances()
{
    std::vector<node::listed_instance> there;
    for (const slot& s : slots_) {
        if (s.core) {
            const bool leaving = s.stopping;
            there.push_back(
                {s.id, "127.0.0.1", 1, failure_domain("d"), leaving});
        }
    }
    platform_.set_instances(std::move(there), queue_.now());
}

bool world::publish(ticket_number number, std::string text)
{
    return platform_.publish(number, std::move(text));
}

bool world::publish_leaving(ticket_number number, std::size_t target,
                            bool leaving)
{
    const std::size_t place = target % targets_.size();
    const bool fresh = platform_.publish(
        number, target_ticket(number, place, settings_.engines, leaving));
    if (fresh) {
        notices_[number] = {place, leaving};
    }
    return fresh;
}

void world::note_read_tickets()
{
    if (platform_.highest() > accepted_) {
        accepted_ = platform_.highest();
        record(history::ticket_accepted{accepted_});
    }
    for (auto it = notices_.begin(); it != notices_.end();) {
        const auto [place, leaving] = it->second;
        if (!platform_.holds(it->first)) {
            ++it;
            continue;
        }
        ticket_number& last = last_notice_[place];
        if (it->first > last) {
            last = it->first;
            record(history::target_leaving{targets_[place].first, leaving});
        }
        it = notices_.erase(it);
    }
}

void world::set_platform(platform_mode mode)
{
    platform_.set_mode(mode);
    review_isolation();
}

void world::crash_target(std::size_t target)
{
    targets_[target % targets_.size()].second->crash(0);
}

void world::lose_answers(std::size_t target)
{
    targets_[target % targets_.size()].second->lose_answers();
}

void world::kill(std::size_t instance)
{
    if (slots_[instance].core) {
        end(slots_[instance], history::stage::killed);
    }
}

void world::stop(std::size_t instance)
{
    slot& s = slots_[instance];
    if (!s.core || s.stopping) {
        return;
    }
    s.stopping = true;
    stage(s, history::stage::stop_requested);
    list_instances();
    step(instance, node::stop_requested{});
}

void world::restart(std::size_t instance)
{
    if (!slots_[instance].core) {
        begin(slots_[instance]);
        list_instances();
        review_isolation();
    }
}

void world::pause(std::size_t instance)
{
    if (slots_[instance].core) {
        slots_[instance].paused = true;
        review_isolation();
    }
}

void world::wake(std::size_t instance)
{
    slot& s = slots_[instance];
    if (!s.core || !s.paused) {
        return;
    }
    s.paused = false;
    review_isolation();
    for (const node::input& input : std::exchange(s.inbox, {})) {
        step(instance, input);
    }
    step(instance, node::tick{});
}

void world::partition(std::size_t bound)
{
    partition_ = bound % slots_.size();
    review_isolation();
}

void world::heal()
{
    partition_ = 0;
    review_isolation();
}

void world::skew(std::size_t instance, std::chrono::milliseconds by)
{
    slots_[instance].skew = by;
}

void world::review_isolation()
{
    const bool no_source =
        partition_ != 0 && platform_.mode() != platform_mode::up;
    for (slot& s : slots_) {
        const bool isolated = s.core && (s.paused || no_source);
        if (s.core && isolated != s.isolated) {
            s.isolated = isolated;
            stage(s, isolated ? history::stage::isolated
                              : history::stage::rejoined);
        }
    }
}

void world::mend()
{
    settings_.loss = 0.0;
    failing_loads_ = 0;
    heal();
    set_platform(platform_mode::up);
    for (std::size_t i = 0; i < slots_.size(); ++i) {
        wake(i);
        restart(i);
    }
}
} // namespace lovagegate::sim
