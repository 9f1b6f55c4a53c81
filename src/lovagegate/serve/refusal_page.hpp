#ifndef LOVAGEGATE_SERVE_REFUSAL_PAGE_HPP
#define LOVAGEGATE_SERVE_REFUSAL_PAGE_HPP

#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/net/http_server.hpp"

#include <string>

namespace lovagegate::serve {

/// How a request ended without an answer of a target.
struct refused_request
{
    request_outcome outcome = request_outcome::not_run;
    refusal reason = refusal::none;
    duration retry_after{};
    std::string message{}; ///< empty: taken from the reason
    std::string param{};
    std::string request{}; ///< its id, empty for none
};

/// @return the HTTP status that tells it
[[nodiscard]] int http_status(request_outcome outcome, refusal reason) noexcept;

/// @return the answer to the caller, in the shape of the API
[[nodiscard]] net::http_answer refusal_page(const refused_request& refused);

/// @return the answer to a request that the server could not read
[[nodiscard]] net::http_answer bad_request_page(net::bad_request reason);

} // namespace lovagegate::serve

#endif
