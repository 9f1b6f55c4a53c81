#ifndef LOVAGEGATE_SERVE_REFUSAL_PAGE_HPP
#define LOVAGEGATE_SERVE_REFUSAL_PAGE_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/net/http_server.hpp"

#include <string>

namespace lovagegate::serve {

/// Outcome of a request that ended without an answer from a target.
struct refused_request
{
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    duration retry_after{};
    std::string message{}; ///< empty: derived from the reason
    std::string param{};
    std::string request{}; ///< request id, empty for none
};

/// @return the HTTP status for the outcome and reason
[[nodiscard]] int http_status(request_outcome outcome, refusal reason) noexcept;

/// @return the answer to the caller, in the format of the OpenAI API
[[nodiscard]] net::http_answer refusal_page(const refused_request& refused);

/// @return the answer to a request that the HTTP server could not parse
[[nodiscard]] net::http_answer bad_request_page(net::bad_request reason);

} // namespace lovagegate::serve

#endif
