#include "lovagegate/routing/retry_policy.hpp"

#include <algorithm>

namespace lovagegate::routing {
namespace {

/// Verdict for an attempt after which the target may have run the request.
attempt_verdict verdict_after_sending(retry_reason reason, bool idempotent,
                                      bool answer_started) noexcept
{
    const bool again = idempotent && !answer_started;
    return {again ? reason : retry_reason::none, true};
}

constexpr std::uint32_t max_backoff_doublings = 16;

} // namespace

attempt_verdict classify_attempt_end(node::attempt_end end, bool idempotent,
                                     bool answer_started) noexcept
{
    using node::attempt_end;
    switch (end) {
    case attempt_end::completed:
    case attempt_end::cancelled:
        return {retry_reason::none, true};
    case attempt_end::connect_failed:
        return {retry_reason::connect_failed, false};
    case attempt_end::not_run:
        return {retry_reason::target_refused, false};
    case attempt_end::adapter_missing:
        return {retry_reason::adapter_missing, false};
    case attempt_end::broken:
        return verdict_after_sending(retry_reason::target_crashed, idempotent,
                                     answer_started);
    case attempt_end::timed_out:
        return verdict_after_sending(retry_reason::target_timeout, idempotent,
                                     answer_started);
    case attempt_end::mismatched:
        return verdict_after_sending(retry_reason::mismatched_answer,
                                     idempotent, answer_started);
    case attempt_end::error_answer:
        return verdict_after_sending(retry_reason::target_error, idempotent,
                                     answer_started);
    }
    return {retry_reason::none, true};
}

retry_budget::retry_budget(const routing_settings& settings) noexcept
    : ratio_(settings.retry_budget_ratio),
      capacity_(settings.retry_budget_capacity),
      tokens_(settings.retry_budget_capacity)
{
}

void retry_budget::on_first_attempt() noexcept
{
    tokens_ = std::min(capacity_, tokens_ + ratio_);
}

bool retry_budget::try_acquire() noexcept
{
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

duration backoff(const routing_settings& settings, std::uint32_t attempt,
                 std::uint64_t random) noexcept
{
    const std::uint32_t doublings =
        std::min(std::max(attempt, 1U) - 1U, max_backoff_doublings);
    const duration ceiling = std::min<duration>(
        settings.max_backoff, settings.initial_backoff * (1U << doublings));
    const auto span = static_cast<std::uint64_t>(ceiling.count()) + 1U;
    return duration(static_cast<duration::rep>(random % span));
}

} // namespace lovagegate::routing
