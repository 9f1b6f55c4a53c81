#include "lovagegate/history/internal/answer_rules.hpp"

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
    open_.insert(key_of(e));
    return {};
}

verdict whole_own_answer::on(const started& e, duration /*at*/)
{
    ran_.insert(e.request);
    return {};
}

verdict whole_own_answer::on(const answered& e, duration /*at*/)
{
    const bool first = open_.erase(key_of(e)) == 1;
    if (e.outcome != request_outcome::completed) {
        return first ? verdict{} : verdict{about(e.request)};
    }
    const bool own = e.answer_of.empty() || e.answer_of == e.request;
    if (first && own && e.whole && ran_.contains(e.request)) {
        return {};
    }
    return about(e.request);
}

verdict whole_own_answer::on(const cut_off& e, duration /*at*/)
{
    open_.erase(key_of(e));
    return {};
}

verdict truthful_not_run::on(const received& e, duration /*at*/)
{
    auto& known = requests_[e.request];
    known.idempotent = e.idempotent;
    known.open[key_of(e)] = known.starts;
    return {};
}

verdict truthful_not_run::on(const started& e, duration /*at*/)
{
    auto& known = requests_[e.request];
    ++known.starts;
    if (known.open.empty() && known.may_run == 0) {
        return about(e.request);
    }
    return {};
}

verdict truthful_not_run::on(const answered& e, duration /*at*/)
{
    auto& known = requests_[e.request];
    const auto call = known.open.find(key_of(e));
    const std::size_t before =
        known.idempotent && call != known.open.end() ? call->second : 0;
    if (call != known.open.end()) {
        known.open.erase(call);
    }
    if (e.outcome != request_outcome::not_run) {
        ++known.may_run;
        return {};
    }
    return known.starts > before ? verdict{about(e.request)} : verdict{};
}

verdict at_most_once::on(const received& e, duration /*at*/)
{
    if (!e.idempotent) {
        starts_.try_emplace(e.request, 0);
    }
    return {};
}

verdict at_most_once::on(const started& e, duration /*at*/)
{
    const auto found = starts_.find(e.request);
    if (found == starts_.end()) {
        return {};
    }
    return ++found->second > 1 ? verdict{about(e.request)} : verdict{};
}

} // namespace lovagegate::history::internal
