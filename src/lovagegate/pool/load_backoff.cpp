#include "lovagegate/pool/load_backoff.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>

namespace lovagegate::pool {

std::uint32_t load_backoff::on_failure(adapter_key adapter,
                                       std::uint64_t jitter_seed,
                                       time_point now,
                                       const load_settings& settings)
{
    record& r = failures_[adapter];
    const std::uint32_t doublings = std::min(r.failures, 10U);
    ++r.failures;
    const duration whole = std::min(
        settings.initial_backoff * (1U << doublings), settings.max_backoff);
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t part = combine_hash(jitter_seed, r.failures) % steps;
    // Jitter: between half of the delay and the whole.
    r.next = now + whole / 2 + whole * part / (2 * steps);
    return r.failures;
}

bool load_backoff::ready(adapter_key adapter, time_point now) const
{
    return wait(adapter, now) == duration::zero();
}

duration load_backoff::wait(adapter_key adapter, time_point now) const
{
    const auto it = failures_.find(adapter);
    if (it == failures_.end() || it->second.next <= now)
        return duration::zero();
    return it->second.next - now;
}

} // namespace lovagegate::pool
