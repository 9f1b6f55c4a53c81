#include "lovagegate/admission/waiting_line.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace lovagegate::admission {

namespace {

/// A late request waits at most this long: it is served in idle moments only,
/// and its caller should come back rather than be held.
constexpr duration max_late_wait = 100ms;

bool is_late(const waiting_request& r, time_point now)
{
    return r.in_time_until < now;
}

/// @return time after which the request at the position is expected to start
duration start_delay(std::size_t position, double per_second)
{
    return from_seconds(static_cast<double>(position + 1) / per_second);
}

} // namespace

std::uint64_t waiting_line::flow(const waiting_request& r)
{
    return combine_hash(r.workspace, r.kind);
}

bool waiting_line::is_starved(const waiting_request& r, time_point now) const
{
    return (r.workspace != 0 && workspaces_.is_starved(r.workspace, now)) ||
           kinds_.is_starved(r.kind, now);
}

void waiting_line::sort(time_point now)
{
    std::ranges::stable_sort(waiting_, {}, [&](const entry& e) {
        const bool late = is_late(e, now);
        return std::tuple(late, late || !e.starved, e.priority,
                          e.in_time_until);
    });
}

std::vector<refused_request> waiting_line::add(const waiting_request& request,
                                               double per_second,
                                               time_point now)
{
    std::vector<refused_request> out;
    if (request.latest_start < now) {
        out.push_back({request.id, refusal_reason::deadline});
        return out;
    }
    const bool late = is_late(request, now);
    // Late requests are not part of the demand that is shared: callers that
    // come back would count twice.
    if (!late) {
        flows_.on_arrival(flow(request), now);
        workspaces_.on_arrival(request.workspace, now);
        kinds_.on_arrival(request.kind, now);
    }
    const bool others_wait = std::ranges::any_of(
        waiting_, [&](const auto& r) { return !is_late(r, now); });
    if (late && others_wait) {
        out.push_back({request.id, refusal_reason::late});
        return out;
    }
    waiting_.push_back({request, is_starved(request, now)});
    sort(now);
    shed(per_second, now, out);
    return out;
}

std::optional<std::size_t> waiting_line::first_late(double per_second,
                                                    time_point now) const
{
    for (std::size_t i = 0; i < waiting_.size(); ++i)
        if (!is_late(waiting_[i], now) &&
            now + start_delay(i, per_second) > waiting_[i].in_time_until)
            return i;
    return std::nullopt;
}

std::size_t waiting_line::choose_victim(std::size_t last, time_point now) const
{
    using rank = std::tuple<bool, std::uint32_t, double, time_point>;
    const auto rank_of = [&](std::size_t i) {
        const entry& r = waiting_[i];
        return rank{!r.starved, r.priority, flows_.use_of_usual(flow(r), now),
                    r.arrived};
    };
    std::size_t victim = last;
    rank highest = rank_of(last);
    for (std::size_t i = 0; i < last; ++i)
        if (const rank r = rank_of(i); r > highest) {
            highest = r;
            victim = i;
        }
    return victim;
}

void waiting_line::shed(double per_second, time_point now,
                        std::vector<refused_request>& out)
{
    while (const auto late = first_late(per_second, now)) {
        const std::size_t victim = choose_victim(*late, now);
        out.push_back({waiting_[victim].id, refusal_reason::overload});
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(victim));
    }
}

std::optional<waiting_request> waiting_line::take_next(time_point now)
{
    if (waiting_.empty())
        return std::nullopt;
    sort(now);
    const waiting_request next = waiting_.front();
    waiting_.erase(waiting_.begin());
    if (!is_late(next, now)) {
        flows_.on_served(flow(next), now);
        workspaces_.on_served(next.workspace, now);
        kinds_.on_served(next.kind, now);
    }
    return next;
}

std::vector<refused_request> waiting_line::expire(double per_second,
                                                  time_point now)
{
    std::vector<refused_request> out;
    const bool others_wait = std::ranges::any_of(
        waiting_, [&](const auto& r) { return !is_late(r, now); });
    std::erase_if(waiting_, [&](const waiting_request& r) {
        const bool past_deadline = r.latest_start < now;
        const bool too_late =
            is_late(r, now) &&
            (others_wait ||
             now - std::max(r.arrived, r.in_time_until) > max_late_wait);
        if (past_deadline || too_late)
            out.push_back({r.id, past_deadline ? refusal_reason::deadline
                                               : refusal_reason::late});
        return past_deadline || too_late;
    });
    sort(now);
    shed(per_second, now, out);
    return out;
}

bool waiting_line::remove(std::uint64_t id)
{
    return std::erase_if(waiting_, [&](const waiting_request& r) {
               return r.id == id;
           }) > 0;
}

duration waiting_line::expected_wait(std::uint64_t id, double per_second) const
{
    const auto at = std::ranges::find(waiting_, id, &waiting_request::id);
    return start_delay(static_cast<std::size_t>(at - waiting_.begin()),
                       per_second);
}

} // namespace lovagegate::admission
