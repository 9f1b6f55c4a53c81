#include "lovagegate/gateway/liveness_probe.hpp"

#include "platform/http_fields.hpp"

namespace lovagegate::gateway {

namespace {

/// Reports need no slot, so a live engine answers within milliseconds.
constexpr duration answer_timeout = 300ms;
/// The head of a report shows that the engine lives. Each silent request has a
/// probe of its own, so that their reports must be short.
constexpr std::size_t max_report_bytes = std::size_t{16} * 1024;

target_request report_request(const target_entry& target)
{
    target_request request;
    request.target = target.id;
    request.address = target.address;
    request.head =
        platform_wire::write_report_head(to_string(target.address), target.id);
    return request;
}

probe_result result_of(const short_call::result& r)
{
    if (r.head_received)
        return probe_result::answered;
    if (!r.failure)
        return probe_result::no_answer;
    switch (*r.failure) {
    case call_failure::no_connection:
        return probe_result::no_connection;
    case call_failure::refused:
        return probe_result::refused;
    case call_failure::unreachable:
        return probe_result::unreachable;
    case call_failure::before_answer:
    case call_failure::within_answer:
        return probe_result::broken;
    case call_failure::not_an_answer:
        break;
    }
    return probe_result::not_an_answer;
}

} // namespace

std::string_view to_string(probe_result r) noexcept
{
    switch (r) {
    case probe_result::answered:
        return "answered";
    case probe_result::no_answer:
        return "no_answer";
    case probe_result::refused:
        return "refused";
    case probe_result::unreachable:
        return "unreachable";
    case probe_result::no_connection:
        return "no_connection";
    case probe_result::broken:
        return "broken";
    case probe_result::not_an_answer:
        return "not_an_answer";
    }
    return "invalid";
}

liveness liveness_shown_by(probe_result r) noexcept
{
    switch (r) {
    case probe_result::answered:
        return liveness::alive;
    case probe_result::no_connection:
    case probe_result::broken:
        return liveness::unknown;
    case probe_result::no_answer:
    case probe_result::refused:
    case probe_result::unreachable:
    case probe_result::not_an_answer:
        break;
    }
    return liveness::gone;
}

liveness_probe::liveness_probe(net::event_loop& loop, target_pool& pool,
                               const target_entry& target,
                               std::size_t max_connections, done_handler done)
    : call_(std::make_unique<short_call>(
          loop, pool, report_request(target), max_connections, answer_timeout,
          max_report_bytes,
          [done = std::move(done)](const short_call::result& r) {
              done(result_of(r));
          }))
{
}

} // namespace lovagegate::gateway
