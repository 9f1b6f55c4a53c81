#include "lovagegate/core/outcome.hpp"

namespace lovagegate {

std::string_view to_string(refusal r) noexcept
{
    switch (r) {
    case refusal::none:
        return "none";
    case refusal::not_ready:
        return "not_ready";
    case refusal::stopping:
        return "stopping";
    case refusal::unknown_service:
        return "unknown_service";
    case refusal::unknown_adapter:
        return "unknown_adapter";
    case refusal::version_not_allowed:
        return "version_not_allowed";
    case refusal::unknown_route:
        return "unknown_route";
    case refusal::malformed_request:
        return "malformed_request";
    case refusal::request_too_large:
        return "request_too_large";
    case refusal::request_id_required:
        return "request_id_required";
    case refusal::request_id_stale:
        return "request_id_stale";
    case refusal::request_id_conflict:
        return "request_id_conflict";
    case refusal::request_running:
        return "request_running";
    case refusal::service_limit:
        return "service_limit";
    case refusal::queue_full:
        return "queue_full";
    case refusal::deadline_unreachable:
        return "deadline_unreachable";
    case refusal::retries_exhausted:
        return "retries_exhausted";
    case refusal::retry_budget:
        return "retry_budget";
    case refusal::no_target:
        return "no_target";
    case refusal::owner_unreachable:
        return "owner_unreachable";
    case refusal::home_unreachable:
        return "home_unreachable";
    case refusal::load_failed:
        return "load_failed";
    case refusal::quarantined:
        return "quarantined";
    case refusal::caller_gone:
        return "caller_gone";
    }
    return "invalid";
}

std::string_view to_string(retry_reason r) noexcept
{
    switch (r) {
    case retry_reason::none:
        return "none";
    case retry_reason::connect_failed:
        return "connect_failed";
    case retry_reason::target_refused:
        return "target_refused";
    case retry_reason::adapter_missing:
        return "adapter_missing";
    case retry_reason::lease_expired:
        return "lease_expired";
    case retry_reason::owner_changed:
        return "owner_changed";
    case retry_reason::owner_timeout:
        return "owner_timeout";
    case retry_reason::target_crashed:
        return "target_crashed";
    case retry_reason::target_error:
        return "target_error";
    case retry_reason::mismatched_answer:
        return "mismatched_answer";
    case retry_reason::target_timeout:
        return "target_timeout";
    case retry_reason::stream_interrupted:
        return "stream_interrupted";
    }
    return "invalid";
}

std::string_view to_string(request_outcome o) noexcept
{
    switch (o) {
    case request_outcome::completed:
        return "completed";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view to_string(priority p) noexcept
{
    switch (p) {
    case priority::interactive:
        return "interactive";
    case priority::normal:
        return "normal";
    case priority::batch:
        return "batch";
    }
    return "invalid";
}

} // namespace lovagegate
