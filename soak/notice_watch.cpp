#include "soak/notice_watch.hpp"

#include <algorithm>

namespace lovagegate::soak {

namespace {

/// A wait is judged so long after its answer: requests that were under way
/// then have arrived.
constexpr duration under_way = 500ms;
/// In the judged part of a wait.
constexpr std::size_t max_arrivals = 2;

std::string text_of(const target_life& life)
{
    return life.target + " (life " + std::to_string(life.number) + ")";
}

std::string ms(duration d)
{
    return std::to_string(d / 1ms) + " ms";
}

} // namespace

void notice_watch::on_sent(const std::string& id, const std::string& instance,
                           time_point now)
{
    attempts_[id] = {instance, now, {}};
}

void notice_watch::on_arrival(const std::string& id, const target_life& at,
                              time_point now)
{
    const auto it = attempts_.find(id);
    if (it == attempts_.end())
        return;
    check_leaving(id, it->second, at, now);
    check_waits(id, it->second, at, now);
}

void notice_watch::check_leaving(const std::string& id, const attempt& a,
                                 const target_life& at, time_point now) const
{
    const auto it = known_leaving_.find({a.instance, at});
    if (it == known_leaving_.end() ||
        a.sent <= it->second + drain_after_notice ||
        interrupted_since(a.instance, it->second))
        return;
    report_({now, a.instance, id,
             "sent " + ms(a.sent - it->second) +
                 " after the instance had passed on that " + text_of(at) +
                 " leaves, and reached it",
             "no request sent later than " + ms(drain_after_notice) +
                 " after that"});
}

void notice_watch::check_waits(const std::string& id, const attempt& a,
                               const target_life& at, time_point now)
{
    const auto it = waits_.find({a.instance, at});
    if (it == waits_.end())
        return;
    std::erase_if(it->second, [&](const wait& w) {
        return now >= w.until || interrupted_since(a.instance, w.from) ||
               cut_since(at.target, w.from);
    });
    for (wait& w : it->second) {
        if (now < w.from + under_way || ++w.arrivals != max_arrivals + 1)
            continue;
        report_({now, a.instance, id,
                 "request " + std::to_string(w.arrivals) + " to " +
                     text_of(at) + ", " + ms(now - w.from) +
                     " after it asked (request " + w.request +
                     ") for none in " + ms(w.until - w.from),
                 std::to_string(max_arrivals) + " at most, from " +
                     ms(under_way) + " after that on"});
    }
}

void notice_watch::on_target_answer(const std::string& id,
                                    const target_answer& answer, time_point now)
{
    counts_.leaving += answer.leaves ? 1 : 0;
    const auto it = attempts_.find(id);
    if (it == attempts_.end())
        return;
    if (answer.runs)
        it->second.runs.push_back(answer);
    if (answer.wants_nothing <= duration::zero())
        return;
    ++counts_.retry_after;
    waits_[{it->second.instance, answer.from}].push_back(
        {id, now, now + answer.wants_nothing});
}

void notice_watch::on_passed_on(const std::string& id, time_point now)
{
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || it->second.runs.empty())
        return;
    const auto& [instance, sent, runs] = it->second;
    // Of several runs it isn't known whose answer the caller has.
    const target_life& from = runs.front().from;
    if (!std::ranges::all_of(runs, [&](const target_answer& r) {
            return r.leaves && r.from == from;
        }))
        return;
    const auto [known, is_new] =
        known_leaving_.try_emplace({instance, from}, now);
    counts_.passed_on += is_new ? 1 : 0;
    if (interrupted_since(instance, known->second))
        known->second = now;
}

void notice_watch::on_caller_left(const std::string& id)
{
    for (auto& [who, waits] : waits_)
        std::erase_if(waits, [&](const wait& w) { return w.request == id; });
}

void notice_watch::on_interrupted(const std::string& instance, time_point now)
{
    interrupted_[instance] = now;
}

void notice_watch::on_cut(const std::string& target, time_point until)
{
    time_point& end = cut_until_[target];
    end = std::max(end, until);
}

bool notice_watch::interrupted_since(const std::string& instance,
                                     time_point since) const
{
    const auto it = interrupted_.find(instance);
    return it != interrupted_.end() && it->second >= since;
}

bool notice_watch::cut_since(const std::string& target, time_point since) const
{
    const auto it = cut_until_.find(target);
    return it != cut_until_.end() && it->second >= since;
}

} // namespace lovagegate::soak
