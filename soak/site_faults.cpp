#include "soak/site.hpp"

#include <algorithm>

namespace lovagegate::soak {

namespace {

/// Delay of a slow link, each way.
constexpr duration slow_link = 150ms;
/// The same of callers' links: requests must end while they are slow.
constexpr duration slow_callers = 40ms;
/// A killed process is down at least so long.
constexpr duration least_down = 50ms;

/// @return for how long answers of a harmed target are held back
duration time_of_cut(const planned_fault& f)
{
    const bool at_once =
        f.what == fault::target_reset || f.what == fault::target_stuck;
    return at_once ? duration::zero() : f.lasts;
}

} // namespace

void site::note(const planned_fault& f)
{
    ++played_[f.what];
    played_plan_ << to_seconds(now() - start_) << ' ' << name_of(f.what) << ' '
                 << f.whom << " for " << to_ms(f.lasts) << " ms" << std::endl;
    if (!is_planned(f.what))
        calm_.disturb(now(), now() + f.lasts + start_time);
}

void site::play(const planned_fault& f)
{
    note(f);
    const std::size_t whom = f.whom;
    switch (f.what) {
    case fault::stop:
        instances_[whom]->stop();
        break;
    case fault::reload:
        instances_[whom]->reload();
        break;
    case fault::new_config:
        publish_config();
        break;
    case fault::kill:
        instances_[whom]->kill(std::max(f.lasts, least_down));
        break;
    case fault::kill_all:
        for (const auto& i : instances_)
            i->kill(std::max(f.lasts, least_down));
        break;
    case fault::pause:
        instances_[whom]->pause(f.lasts);
        excuse(*instances_[whom]);
        loop_.call_later(f.lasts, [this, whom] {
            instances_[whom]->resume();
            excuse(*instances_[whom]);
        });
        break;
    case fault::store_down:
    case fault::store_silent:
    case fault::store_slow:
    case fault::store_reset:
    case fault::store_restored:
        harm_store(f);
        break;
    case fault::callers_slow:
    case fault::callers_reset:
        harm_callers(f, *instances_[whom]);
        break;
    case fault::target_leaves:
        targets_[whom]->leave(f.lasts, f.variant);
        break;
    case fault::target_turns_away:
        targets_[whom]->turn_away(f.lasts, f.variant);
        break;
    default:
        harm_target(f, *targets_[whom]);
    }
}

void site::excuse(const instance& i)
{
    judge_.notices().on_interrupted(i.name(), now());
}

void site::harm_link(tcp_proxy& link, const link_state& state, duration lasts)
{
    link.set(state);
    loop_.call_later(lasts, [&link] { link.set({}); });
}

void site::harm_target(const planned_fault& f, soak_target& target)
{
    tcp_proxy& link = target.link();
    if (f.what != fault::target_slow)
        judge_.notices().on_cut(target.name(), now() + time_of_cut(f));
    switch (f.what) {
    case fault::target_reset:
        link.reset_all();
        break;
    case fault::target_silent:
        harm_link(link, {false, false, {}}, f.lasts);
        break;
    case fault::target_stuck:
        link.stick_all();
        break;
    case fault::target_no_way_in:
        harm_link(link, {false, true, {}}, f.lasts);
        break;
    case fault::target_no_way_out:
        harm_link(link, {true, false, {}}, f.lasts);
        break;
    case fault::target_slow:
        harm_link(link, {true, true, slow_link}, f.lasts);
        break;
    default:
        target.crash();
        loop_.call_later(
            f.lasts, [&target, new_id = f.variant] { target.restart(new_id); });
    }
}

void site::harm_store(const planned_fault& f)
{
    switch (f.what) {
    case fault::store_down:
        store_.set_down(true);
        loop_.call_later(f.lasts, [this] { store_.set_down(false); });
        break;
    case fault::store_silent:
        harm_link(store_link_, {false, false, {}}, f.lasts);
        break;
    case fault::store_slow:
        harm_link(store_link_, {true, true, slow_link}, f.lasts);
        break;
    case fault::store_restored:
        store_.set_down(true);
        loop_.call_later(f.lasts,
                         [this, oldest = f.variant] { restore_store(oldest); });
        break;
    default:
        store_link_.reset_all();
    }
}

void site::copy_store()
{
    constexpr std::size_t max_copies = 5;
    copies_.push_back(store_.make_copy());
    if (copies_.size() > max_copies)
        copies_.pop_front();
}

void site::restore_store(bool from_oldest_copy)
{
    constexpr duration time_to_write_again = 100ms;
    store_.restore(from_oldest_copy ? copies_.front() : copies_.back());
    store_.set_down(false);
    loop_.call_later(time_to_write_again, [this] {
        write_config(configs_.newest());
        for (const auto& t : targets_)
            t->write_again();
    });
}

void site::harm_callers(const planned_fault& f, instance& i)
{
    if (f.what == fault::callers_reset)
        i.callers_link().reset_all();
    else
        harm_link(i.callers_link(), {true, true, slow_callers}, f.lasts);
}

} // namespace lovagegate::soak
