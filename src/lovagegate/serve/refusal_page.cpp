#include "lovagegate/serve/refusal_page.hpp"

#include "lovagegate/openai/pages.hpp"

namespace lovagegate::serve {

namespace {

constexpr int bad_request = 400;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int too_large = 413;
constexpr int unprocessable_entity = 422;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int client_closed_request = 499;

/// Returns whether the same request would be refused again at any load.
bool is_permanent(refusal reason) noexcept
{
    const int status = http_status(request_outcome::not_run, reason);
    return status < too_many_requests && status != conflict;
}

std::string_view error_type(const refused_request& refused) noexcept
{
    if (refused.outcome == request_outcome::unknown)
        return "outcome_unknown";
    return is_permanent(refused.reason) ? "invalid_request_error" : "not_run";
}

std::string error_message(const refused_request& refused)
{
    if (!refused.message.empty())
        return refused.message;
    if (refused.outcome == request_outcome::unknown)
        return "the request may have run; its answer is not known";
    return "the request was not run: " + std::string(to_string(refused.reason));
}

/// Returns the value of Retry-After: whole seconds, at least one.
std::string retry_after_seconds(duration d)
{
    const auto s = std::chrono::ceil<std::chrono::seconds>(d).count();
    return std::to_string(s < 1 ? 1 : s);
}

} // namespace

int http_status(request_outcome outcome, refusal reason) noexcept
{
    if (outcome == request_outcome::unknown)
        return reason == refusal::request_running ||
                       reason == refusal::request_id_stale
                   ? conflict
                   : bad_gateway;
    switch (reason) {
    case refusal::malformed_request:
    case refusal::request_id_required:
    case refusal::request_id_stale:
        return bad_request;
    case refusal::version_not_allowed:
        return forbidden;
    case refusal::unknown_service:
    case refusal::unknown_adapter:
    case refusal::unknown_route:
        return not_found;
    case refusal::request_id_conflict:
    case refusal::request_running:
        return conflict;
    case refusal::request_too_large:
        return too_large;
    case refusal::quarantined:
        return unprocessable_entity;
    case refusal::service_limit:
    case refusal::queue_full:
        return too_many_requests;
    case refusal::caller_gone:
        return client_closed_request;
    default:
        return service_unavailable;
    }
}

net::http_answer refusal_page(const refused_request& refused)
{
    const bool unknown = refused.outcome == request_outcome::unknown;
    net::http_answer page;
    page.status = http_status(refused.outcome, refused.reason);
    page.headers = {{"content-type", "application/json"},
                    {"x-lovagegate-outcome", unknown ? "unknown" : "not_run"}};
    if (!refused.request.empty())
        page.headers.push_back({"x-request-id", refused.request});
    if (!unknown && page.status >= too_many_requests)
        page.headers.push_back(
            {"retry-after", retry_after_seconds(refused.retry_after)});
    const std::string code = unknown && refused.reason == refusal::none
                                 ? "outcome_unknown"
                                 : std::string(to_string(refused.reason));
    page.body = openai::error_body({error_message(refused),
                                    std::string(error_type(refused)),
                                    refused.param, code});
    return page;
}

net::http_answer bad_request_page(net::bad_request reason)
{
    refused_request refused{.reason = refusal::malformed_request};
    switch (reason) {
    case net::bad_request::body_too_large:
        refused.reason = refusal::request_too_large;
        refused.message = "the body is over the limit";
        break;
    case net::bad_request::length_required:
        refused.message = "a body needs Content-Length";
        break;
    case net::bad_request::malformed_length:
        refused.message = "Content-Length is not a number";
        break;
    case net::bad_request::too_much_held:
        refused.reason = refusal::queue_full;
        refused.message = "too much is held for callers";
        refused.retry_after = 1s;
        break;
    case net::bad_request::unsupported_method:
        refused.message = "the method is not supported here";
        break;
    }
    return refusal_page(refused);
}

} // namespace lovagegate::serve
