#include "lovagegate/crashes/missed_notices.hpp"

namespace lovagegate::crashes {

namespace {

/// Three heartbeats: one that is lost is no reason to ask.
constexpr duration max_silence = 1300ms;
/// Time after the start in which a live instance has answered, also if the
/// first question was lost: it is repeated with the next heartbeat, after 0.4
/// s.
constexpr duration max_wait_for_answer = 500ms;

} // namespace

bool missed_notices::on_heard(time_point now)
{
    const bool was_silent =
        last_heard_ != time_point{} && now - last_heard_ > max_silence;
    const bool is_first = last_heard_ == time_point{};
    last_heard_ = now;
    must_ask_ = must_ask_ || was_silent;
    return must_ask_ && (is_first || was_silent);
}

void missed_notices::on_answer()
{
    must_ask_ = false;
    may_serve_ = true;
}

bool missed_notices::may_serve(time_point now) const
{
    return may_serve_ || now - start_ >= max_wait_for_answer;
}

} // namespace lovagegate::crashes
