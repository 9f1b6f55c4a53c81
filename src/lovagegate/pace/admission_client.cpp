#include "lovagegate/pace/admission_client.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace lovagegate::pace {

using gateway::run_event;
using gateway::run_verdict;

admission_client::admission_client(std::uint64_t first_number, sender send,
                                   const client_settings& settings)
    : settings_(settings), send_(std::move(send)), last_number_(first_number)
{
}

std::uint64_t admission_client::ask(const std::string& owner,
                                    gateway::run_request request,
                                    time_point now, answer_handler done)
{
    const std::uint64_t number = ++last_number_;
    request.number = number;
    questions_.emplace(number, question{owner, request.engine,
                                        now + settings_.answer_timeout,
                                        std::move(done)});
    send_(owner, request);
    return number;
}

void admission_client::cancel(std::uint64_t number)
{
    questions_.erase(number);
}

bool admission_client::is_silent(const std::string& owner, time_point now) const
{
    const auto it = silent_until_.find(owner);
    return it != silent_until_.end() && now < it->second;
}

void admission_client::finish(std::uint64_t number, admission_answer answer)
{
    const auto it = questions_.find(number);
    if (it == questions_.end())
        return;
    const auto done = std::move(it->second.done);
    questions_.erase(it);
    answer.number = number;
    done(answer);
}

void admission_client::on_reply(const std::string& from,
                                const gateway::run_reply& reply, time_point now)
{
    using kind = admission_answer::kind;
    const bool admitted = reply.verdict == run_verdict::admitted;
    const auto it = questions_.find(reply.number);
    if (it == questions_.end() || it->second.owner != from) {
        // Too late; the request has gone on, or no longer needs the engine.
        if (admitted && !admissions_.contains(reply.number))
            add_update(from, {reply.engine, reply.number, run_event::ended, {}},
                       now);
        return;
    }
    if (admitted) {
        admissions_.emplace(reply.number, admission{from, it->second.engine});
        ++open_[it->second.engine];
    }
    const kind result = reply.verdict == run_verdict::not_owner
                            ? kind::unanswered
                            : (admitted ? kind::admitted : kind::refused);
    finish(reply.number,
           {result, reply.number, reply.open_requests, reply.usable_slots});
}

void admission_client::on_event(std::uint64_t number, run_event event,
                                duration time, time_point now)
{
    const auto it = admissions_.find(number);
    if (it == admissions_.end())
        return;
    const admission a = it->second;
    if (event != run_event::begun && event != run_event::sent) {
        admissions_.erase(it);
        const auto count = open_.find(a.engine);
        if (count != open_.end() && --count->second == 0)
            open_.erase(count);
    }
    add_update(a.owner, {a.engine, number, event, time}, now);
}

void admission_client::add_update(const std::string& owner,
                                  gateway::run_update::entry entry,
                                  time_point now)
{
    if (owner.empty()) {
        send_(owner, gateway::run_update{{std::move(entry)}});
        return;
    }
    update_batch& batch = updates_[owner];
    if (batch.message.entries.empty())
        batch.due = now + settings_.update_delay;
    batch.message.entries.push_back(std::move(entry));
    if (batch.message.entries.size() < settings_.max_update_entries)
        return;
    const auto full = std::move(batch.message);
    updates_.erase(owner);
    send_(owner, full);
}

void admission_client::tick(time_point now)
{
    std::vector<std::uint64_t> unanswered;
    for (const auto& [number, q] : questions_)
        if (now >= q.until) {
            unanswered.push_back(number);
            silent_until_[q.owner] = now + settings_.silence_backoff;
        }
    for (const auto number : unanswered)
        finish(number, {});
    std::erase_if(silent_until_,
                  [&](const auto& s) { return now >= s.second; });
    for (auto it = updates_.begin(); it != updates_.end();) {
        if (now < it->second.due) {
            ++it;
            continue;
        }
        send_(it->first, it->second.message);
        it = updates_.erase(it);
    }
}

std::optional<time_point> admission_client::next_action() const
{
    std::optional<time_point> next;
    const auto at = [&](time_point t) { next = next ? std::min(*next, t) : t; };
    if (!questions_.empty()) // the oldest has the lowest number
        at(questions_.begin()->second.until);
    for (const auto& [owner, batch] : updates_)
        at(batch.due);
    return next;
}

std::uint32_t admission_client::open(const std::string& engine) const
{
    const auto it = open_.find(engine);
    return it == open_.end() ? 0 : it->second;
}

} // namespace lovagegate::pace
