#include "lovagegate/capacity/request_permit.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::capacity {

using namespace gateway;

request_permit::~request_permit()
{
    if (state_ == state::asking)
        permits_.cancel(number_);
    else
        give_back(permit_outcome::unused, {});
}

void request_permit::give_back(permit_outcome outcome, duration run_time)
{
    target_.clear();
    if (number_ != 0)
        permits_.release(std::exchange(number_, 0), outcome, run_time);
}

bool request_permit::ask(const request& r, std::function<void()> on_decided,
                         time_point now)
{
    if (state_ == state::decided || state_ == state::sent)
        return false;
    if (state_ == state::asking)
        return true;
    state_ = state::decided;
    service_ = r.service;
    if (!permits_.are_needed(r.service, now))
        return false;
    // Half of the hash tells routes apart, and makes datagrams shorter.
    constexpr int unused_hash_bits = 32;
    const std::uint64_t kind = stable_hash(r.route.name) >> unused_hash_bits;
    const duration waited = now - r.arrived;
    const duration age =
        r.time_left ? permits_.age_of_attempt(
                          kind, std::min(*r.time_left, r.route.timeout), now)
                    : duration::zero();
    const permit_question q{r.service,
                            r.priority,
                            r.workspace,
                            kind,
                            r.route.latency_objective - age - waited,
                            r.deadline - now};
    const auto number =
        permits_.ask(q, [this, on_decided = std::move(on_decided)](
                            const permit_decision& decision) {
            state_ = state::decided;
            if (decision.what == permit_decision::action::send_to_target)
                target_ = decision.target;
            else
                number_ = 0;
            if (decision.what == permit_decision::action::refuse)
                refused_for_ = decision.retry_after;
            on_decided();
        });
    if (number == 0)
        return false;
    number_ = number;
    state_ = state::asking;
    return true;
}

void request_permit::restrict_to_granted(
    std::vector<const target_state*>& candidates,
    std::span<const std::string> excluded)
{
    if (target_.empty())
        return;
    const auto granted =
        std::ranges::find_if(candidates, [&](const target_state* t) {
            return t->entry.id == target_;
        });
    if (granted == candidates.end() ||
        std::ranges::find(excluded, target_) != excluded.end()) {
        give_back(permit_outcome::unused, {});
        return;
    }
    candidates = {*granted};
}

void request_permit::on_sent(time_point now)
{
    state_ = state::sent;
    sent_at_ = now;
}

void request_permit::on_left(permit_outcome outcome, time_point now)
{
    if (state_ != state::sent)
        return;
    state_ = state::none;
    const duration run_time = now - sent_at_;
    if (number_ != 0)
        give_back(outcome, run_time);
    else
        permits_.on_unpermitted_end(service_, outcome, run_time);
}

} // namespace lovagegate::capacity
