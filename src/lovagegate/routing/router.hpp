#ifndef LOVAGEGATE_ROUTING_ROUTER_HPP
#define LOVAGEGATE_ROUTING_ROUTER_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/routing/lease_client.hpp"
#include "lovagegate/routing/open_request.hpp"
#include "lovagegate/routing/plain_balancer.hpp"
#include "lovagegate/routing/retry_policy.hpp"

#include <map>
#include <random>
#include <unordered_map>

namespace lovagegate::routing {

/// Whether the instance accepts new requests.
enum class admission : std::uint8_t
{
    not_ready,
    open,
    stopping,
};

/// Routes the requests of this instance's callers: admission, claim, lease,
/// attempts and retries. Each request ends with exactly one outcome.
class router
{
public:
    router(const routing_settings& settings, environment& env, counters& count,
           std::uint64_t seed);

    /// Admits the request and starts it, or refuses it at once.
    void on_request(node::caller_request call, admission state, time_point now,
                    node::outbox& out);
    /// Cancels the request, unless it is a claimed non-idempotent call.
    void on_caller_gone(local_id id, node::outbox& out);
    void on_answer_started(const node::answer_started& progress);
    void on_attempt_ended(const node::attempt_ended& end, time_point now,
                          node::outbox& out);

    void on_grant(const instance_id& from, const protocol::lease_grant& grant,
                  time_point now, node::outbox& out);
    void on_refusal(const protocol::lease_refusal& answer, time_point now,
                    node::outbox& out);
    void on_queued(const protocol::lease_queued& answer, time_point now);
    void on_claim_answer(const protocol::claim_answer& answer, time_point now,
                         node::outbox& out);

    void tick(time_point now, node::outbox& out);

    /// @return the number of requests without an outcome
    [[nodiscard]] std::size_t open() const noexcept { return requests_.size(); }

    /// @return the number of open requests of each service
    [[nodiscard]] const std::map<service_id, std::size_t>&
    open_by_service() const noexcept
    {
        return open_by_service_;
    }

private:
    using request_map = std::unordered_map<local_id, open_request>;

    [[nodiscard]] refusal admit(const open_request& r) const;
    void advance(open_request& r, time_point now, node::outbox& out);
    void request_claim(open_request& r, time_point now, node::outbox& out);
    void request_lease(open_request& r, time_point now, node::outbox& out);
    void start_plain_attempt(open_request& r, time_point now,
                             node::outbox& out);
    void begin_attempt(open_request& r, const target_id& target,
                       time_point not_after, time_point now, node::outbox& out);
    void finish_as_unknown(open_request& r, refusal reason, node::outbox& out);
    void release_target(const open_request& r, const node::attempt_ended& end,
                        time_point now, node::outbox& out);
    void schedule_retry(open_request& r, retry_reason reason, time_point now,
                        node::outbox& out);
    void on_request_due(open_request& r, time_point now, node::outbox& out);
    void finish_without_answer(open_request& r, refusal reason,
                               node::outbox& out);
    void finish(open_request& r, node::finish_request end, node::outbox& out);
    void
    report_claim_result(const open_request& r, request_outcome outcome,
                        const std::optional<protocol::stored_answer>& answer,
                        node::outbox& out);
    void finish_unclaimed(open_request& r, const protocol::claim_answer& answer,
                          node::outbox& out);
    void refuse(const node::caller_request& call, refusal reason,
                node::outbox& out);
    void remove(local_id id);

    const routing_settings& settings_;
    environment& env_;
    counters& counters_;
    lease_client leases_;
    plain_balancer plain_balancer_;
    retry_budget retry_budget_;
    std::mt19937_64 random_;
    request_map requests_;
    std::map<service_id, std::size_t> open_by_service_;
};

} // namespace lovagegate::routing

#endif
