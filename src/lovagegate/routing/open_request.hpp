#ifndef LOVAGEGATE_ROUTING_OPEN_REQUEST_HPP
#define LOVAGEGATE_ROUTING_OPEN_REQUEST_HPP

#include "lovagegate/node/inputs.hpp"
#include "lovagegate/routing/resolver.hpp"

#include <set>
#include <vector>

namespace lovagegate::routing {

/// Stage of a request between its arrival and its outcome.
enum class request_stage : std::uint8_t
{
    claiming,    ///< waits for the claim answer of the home of its id
    leasing,     ///< waits for a lease
    running,     ///< an attempt on a target is in progress
    backing_off, ///< waits for the backoff before its next attempt
};

/// State of one request between its arrival and its outcome.
struct open_request
{
    node::caller_request call;
    resolved_request resolved;
    request_stage stage = request_stage::leasing;
    time_point deadline{};
    time_point wake_at{}; ///< end of the backoff, or claim answer timeout

    std::uint32_t attempt = 0;      ///< attempts on targets so far
    std::uint32_t failed_tries = 0; ///< lease requests and attempts that failed
    bool may_have_run = false;
    bool answer_started = false; ///< the caller has received part of the answer
    bool claimed = false;        ///< the home granted the claim (verdict go)
    std::uint32_t claim_attempts = 0;
    /// Every instance that may hold a claim of this request.
    std::set<instance_id> claim_homes;

    target_id target; ///< of the current attempt
    incarnation target_start = 0;
    std::vector<target_id> excluded;
    refusal last_refusal = refusal::none;
    duration retry_after{};
};

} // namespace lovagegate::routing

#endif
