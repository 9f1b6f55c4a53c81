#include "lovagegate/history/internal/answer_rules.hpp"

#include <algorithm>

namespace lovagegate::history::internal {

namespace {

subject about(const request_id& r)
{
    return {subject_kind::request, r.str()};
}

template <typename Event>
call_key key_of(const Event& e)
{
    return {e.instance, e.start, e.call};
}

} // namespace

verdict whole_own_answer::on(const received& e, duration /*at*/)
{
    open_calls_.insert(key_of(e));
    return {};
}

verdict whole_own_answer::on(const started& e, duration /*at*/)
{
    started_requests_.insert(e.request);
    return {};
}

verdict whole_own_answer::on(const answered& e, duration /*at*/)
{
    const bool first = open_calls_.erase(key_of(e)) == 1;
    if (e.outcome != request_outcome::completed) {
        return first ? verdict{} : verdict{about(e.request)};
    }
    const bool own = e.answer_of.empty() || e.answer_of == e.request;
    if (first && own && e.whole && started_requests_.contains(e.request)) {
        return {};
    }
    return about(e.request);
}

verdict whole_own_answer::on(const cut_off& e, duration /*at*/)
{
    open_calls_.erase(key_of(e));
    return {};
}

verdict truthful_not_run::on(const received& e, duration /*at*/)
{
    calls_[e.request].push_back({key_of(e), {}, false, false});
    return {};
}

verdict truthful_not_run::on(const sent& e, duration /*at*/)
{
    auto& calls = calls_[e.request];
    const auto sender =
        std::find_if(calls.begin(), calls.end(),
                     [&e](const call_record& c) { return c.key == key_of(e); });
    if (sender != calls.end()) {
        sender->sent_to = e.target;
        // Keep the calls ordered by their last send, the most recent at the
        // end.
        std::rotate(sender, sender + 1, calls.end());
    }
    return {};
}

verdict truthful_not_run::on(const started& e, duration /*at*/)
{
    auto& calls = calls_[e.request];
    const auto sender =
        std::find_if(calls.rbegin(), calls.rend(), [&e](const call_record& c) {
            return c.sent_to == e.target;
        });
    if (sender != calls.rend()) {
        sender->has_started = true;
        sender->sent_to = {};
        return sender->not_run ? verdict{about(e.request)} : verdict{};
    }
    bool open = false;
    for (call_record& c : calls) {
        c.has_started = true;
        open = open || !c.not_run;
    }
    return open ? verdict{} : verdict{about(e.request)};
}

verdict truthful_not_run::on(const answered& e, duration /*at*/)
{
    if (e.outcome != request_outcome::not_run) {
        return {};
    }
    for (call_record& c : calls_[e.request]) {
        if (c.key == key_of(e)) {
            c.not_run = true;
            return c.has_started ? verdict{about(e.request)} : verdict{};
        }
    }
    return {};
}

verdict at_most_once::on(const received& e, duration /*at*/)
{
    if (!e.idempotent) {
        start_counts_.try_emplace(e.request, 0);
    }
    return {};
}

verdict at_most_once::on(const started& e, duration /*at*/)
{
    const auto found = start_counts_.find(e.request);
    if (found == start_counts_.end()) {
        return {};
    }
    return ++found->second > 1 ? verdict{about(e.request)} : verdict{};
}

} // namespace lovagegate::history::internal
