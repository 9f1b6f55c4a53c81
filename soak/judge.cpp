#include "soak/judge.hpp"

#include <algorithm>

namespace lovagegate::soak {

namespace {

constexpr int ok = 200;
constexpr int first_redirect = 300;
constexpr int unknown_route = 404;
constexpr int first_server_error = 500;
/// A connection that closes so soon after a request's last byte may have
/// crossed it, if no target has seen the request.
constexpr duration crossing = 200ms;
/// An answer that ends so shortly before the caller's time is up was cut
/// because of that.
constexpr duration deadline_margin = 100ms;
/// A loss is decided when faults that began at the same time are recorded.
constexpr duration settling = 500ms;
/// Of the grace time: work that goes on beyond this part may be broken off ...
constexpr double late_part = 5.0 / 6.0;
/// ... if it was sent no later than this after the signal.
constexpr duration early_in_stop = 3s;

bool is_refusal(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string first_difference(std::string_view a, std::string_view b)
{
    const auto at =
        static_cast<std::size_t>(std::ranges::mismatch(a, b).in1 - a.begin());
    constexpr std::size_t shown = 40;
    return std::to_string(a.size()) + " bytes, at " + std::to_string(at) +
           " '" + std::string(a.substr(at, shown)) + "'";
}

} // namespace

judge::judge(const calm_record& calm, duration stop_grace,
             report_handler report)
    : calm_(calm), stop_grace_(stop_grace), report_(std::move(report)),
      notices_(report_)
{
}

void judge::on_sent(const work& w, const std::string& instance, time_point now,
                    duration time_left, bool kept)
{
    ++counts_.sent;
    attempts_[w.id] = {w, instance, now, time_left, kept};
    notices_.on_sent(w.id, instance, now);
}

void judge::on_run(const std::string& id, const std::optional<work>& seen,
                   std::string_view body, time_point now)
{
    ++counts_.runs;
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        report_(
            {now, "", id, "a run of a request that no caller sent", "none"});
        return;
    }
    attempt& a = it->second;
    ++a.runs;
    if (!seen || *seen != a.asked || body != request_body(a.asked))
        report(a, now, "a run of a changed request", path_of(a.asked));
    if (a.refused)
        report(a, now, "a run after a refusal", "no run, ever");
    if (a.runs > 1 && !may_repeat(a.asked.kind))
        report(a, now, "run " + std::to_string(a.runs), "one run at most");
}

void judge::on_answer(const std::string& id, const answer_facts& answer,
                      time_point now)
{
    attempt& a = attempts_.at(id);
    const int status = answer.status;
    if (status >= ok && status < first_redirect) {
        ++counts_.served;
        check_success(a, answer, now);
        notices_.on_passed_on(id, now);
    } else if (is_refusal(status)) {
        ++counts_.refused;
        check_refusal(a, answer, now);
    } else if (status == unknown_route && is_marker(a.asked)) {
        ++counts_.unknown_routes;
    } else {
        ++counts_.failed;
        if (status < first_server_error)
            report(a, now, "status " + std::to_string(status),
                   "no denial of what the configuration allows");
    }
    if (status >= first_redirect && answer.is_signed)
        report(a, now, "a signed failure", "the status that the target gave");
}

void judge::check_success(const attempt& a, const answer_facts& f,
                          time_point now)
{
    if (!f.is_signed || f.id != a.asked.id)
        report(a, now,
               "a success with id '" + f.id + "'" +
                   (f.is_signed ? "" : ", unsigned"),
               "a target's signature and the request's id");
    const std::string whole = answer_body(a.asked);
    if (f.body != whole)
        report(a, now, first_difference(f.body, whole),
               first_difference(whole, f.body));
    if (a.runs == 0)
        report(a, now, "a success without a run", "one run at least");
}

void judge::check_refusal(attempt& a, const answer_facts& f, time_point now)
{
    a.refused = true;
    if (a.runs > 0)
        report(a, now,
               "status " + std::to_string(f.status) + " after " +
                   std::to_string(a.runs) + " runs",
               "no run, ever");
}

void judge::check_part(const attempt& a, const answer_facts& f, time_point now)
{
    if (f.status == ok && !answer_body(a.asked).starts_with(f.body))
        report(a, now, first_difference(f.body, answer_body(a.asked)),
               "a part of the answer without gap or repeat");
}

void judge::on_unanswered(const std::string& id, const answer_facts& part,
                          unanswered why, time_point now)
{
    const attempt& a = attempts_.at(id);
    check_part(a, part, now);
    if (why == unanswered::out_of_time) {
        ++counts_.out_of_time;
        notices_.on_caller_left(id);
        return;
    }
    ++counts_.lost;
    losses_.push_back({id, now});
}

void judge::on_unasked_bytes(const std::string& instance,
                             std::string_view bytes, time_point now)
{
    constexpr std::size_t shown = 60;
    if (!bytes.starts_with("HTTP/1.1 408"))
        report_({now, instance, "",
                 "'" + std::string(bytes.substr(0, shown)) + "'",
                 "no bytes while no request waits"});
}

void judge::on_stop(const std::string& instance, time_point now)
{
    stops_[instance].push_back(now);
}

void judge::settle(time_point now)
{
    const auto due =
        std::partition(losses_.begin(), losses_.end(),
                       [&](const loss& l) { return now - l.at < settling; });
    const std::vector<loss> ready(due, losses_.end());
    losses_.erase(due, losses_.end());
    for (const auto& l : ready)
        check_loss(l, now);
}

void judge::check_loss(const loss& l, time_point now)
{
    const attempt& a = attempts_.at(l.id);
    if (!calm_.is_calm(a.sent - stable_window, l.at))
        return;
    ++counts_.lost_in_calm;
    if (l.at - a.sent >= a.time_left - deadline_margin)
        return;
    if (a.runs == 0 && l.at - a.sent <= crossing) {
        if (a.kept)
            ++counts_.crossed;
        return;
    }
    if (!outlived_grace(a, l.at))
        report(a, now,
               "no whole answer, " + std::to_string(to_ms(l.at - a.sent)) +
                   " ms after the request, " + std::to_string(a.runs) + " runs",
               "an answer: only planned work was going on");
}

bool judge::outlived_grace(const attempt& a, time_point end) const
{
    const auto it = stops_.find(a.instance);
    if (it == stops_.end())
        return false;
    const auto late = std::chrono::duration_cast<duration>(
        late_part * std::chrono::duration<double>(stop_grace_));
    return std::ranges::any_of(it->second, [&](time_point stop) {
        return end >= stop + late && end <= stop + stop_grace_ + 1s &&
               a.sent <= stop + early_in_stop && a.runs > 0;
    });
}

void judge::report(const attempt& a, time_point now, const std::string& seen,
                   const std::string& expected) const
{
    report_({now, a.instance, a.asked.id, seen, expected});
}

} // namespace lovagegate::soak
