#include "lovagegate/gateway/liveness_probe.hpp"

#include "platform/http_fields.hpp"

namespace lovagegate::gateway {

namespace {

/// Reports need no slot, so a live engine answers within milliseconds.
constexpr duration answer_timeout = 300ms;
constexpr std::size_t max_report_bytes = std::size_t{256} * 1024;

target_request report_request(const target_entry& target)
{
    target_request request;
    request.target = target.id;
    request.address = target.address;
    request.head =
        platform_wire::write_report_head(to_string(target.address), target.id);
    return request;
}

} // namespace

liveness_probe::liveness_probe(net::event_loop& loop, target_pool& pool,
                               const target_entry& target,
                               std::size_t max_connections, done_handler done)
    : call_(std::make_unique<short_call>(
          loop, pool, report_request(target), max_connections, answer_timeout,
          max_report_bytes,
          [done = std::move(done)](const short_call::result& r) {
              done(r.status != 0);
          }))
{
}

} // namespace lovagegate::gateway
