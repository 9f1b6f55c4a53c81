#include "lovagegate/capacity/engine_memory.hpp"

#include <algorithm>

namespace lovagegate::capacity {

namespace {

/// Age up to which a report is used.
constexpr duration report_ttl = 4s;
/// Share of the memory that may be planned: the reports are up to a second old,
/// and other instances send to the same engine meanwhile.
constexpr double plannable_share = 0.85;
/// Requests that an engine queues for each of its slots; those beyond are
/// rejected. The platform's engines queue three.
constexpr double queue_per_slot = 3;
constexpr double request_weight = 0.05;
constexpr double permille = 1000;

} // namespace

bool engine_memory::is_fresh(const engine_record& e, time_point now)
{
    return e.reported_at != time_point{} && now - e.reported_at < report_ttl;
}

void engine_memory::on_report(const gateway::engine_claim& claim,
                              time_point now)
{
    engines_[claim.engine] = {claim.running,
                              claim.waiting,
                              claim.kv_permille / permille,
                              now,
                              now,
                              0,
                              0};
}

void engine_memory::on_sent(const std::string& engine,
                            const std::string& service, std::uint64_t tokens,
                            time_point now)
{
    engine_record& e = engines_[engine];
    // Without reports, most requests sent before have ended.
    if (now - e.counted_from >= report_ttl) {
        e.counted_from = now;
        e.tokens_since_report = 0;
        e.requests_since_report = 0;
    }
    e.tokens_since_report += tokens;
    ++e.requests_since_report;
    const auto [mean, is_first] =
        mean_tokens_.try_emplace(service, static_cast<double>(tokens));
    if (!is_first)
        mean->second +=
            request_weight * (static_cast<double>(tokens) - mean->second);
}

double engine_memory::held_tokens(const std::string& engine,
                                  const std::string& service,
                                  std::uint64_t engine_tokens,
                                  time_point now) const
{
    const auto it = engines_.find(engine);
    if (it == engines_.end())
        return 0;
    const engine_record& e = it->second;
    const auto own = static_cast<double>(e.tokens_since_report);
    if (!is_fresh(e, now))
        return own;
    const auto mean = mean_tokens_.find(service);
    const double each = mean == mean_tokens_.end() ? 0 : mean->second;
    // The memory in use doesn't contain what queued requests will need, nor
    // what running ones have yet to generate; it may contain cached parts.
    const double by_use =
        e.memory_use * static_cast<double>(engine_tokens) + e.waiting * each;
    const double by_requests =
        (static_cast<double>(e.running) + e.waiting) * each;
    return std::max(by_use, by_requests) + own;
}

bool engine_memory::has_room(const std::string& engine,
                             const std::string& service, const demand& d,
                             time_point now) const
{
    const auto it = engines_.find(engine);
    if (it == engines_.end())
        return true;
    const engine_record& e = it->second;
    const double requests =
        (is_fresh(e, now) ? static_cast<double>(e.running) + e.waiting : 0) +
        e.requests_since_report;
    if (requests >= d.engine_slots * (1 + queue_per_slot))
        return false;
    return held_tokens(engine, service, d.engine_tokens, now) +
               static_cast<double>(d.tokens) <=
           plannable_share * static_cast<double>(d.engine_tokens);
}

} // namespace lovagegate::capacity
